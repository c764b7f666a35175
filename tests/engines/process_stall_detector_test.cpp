// A gap between two ticks shows a stall of the process.
#include "engines/process_stall_detector.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(process_stall_detector)

BOOST_AUTO_TEST_CASE(the_first_tick_is_no_stall) {
  ProcessStallDetector detector(2s);
  BOOST_TEST(!detector.tick(Time(100s)));
}

BOOST_AUTO_TEST_CASE(only_a_gap_above_the_bound_is_a_stall) {
  ProcessStallDetector detector(2s);
  detector.tick(Time(100s));
  BOOST_TEST(!detector.tick(Time(102s)));
  BOOST_TEST(detector.tick(Time(104s) + 1ms));
  BOOST_TEST(!detector.tick(Time(105s)));
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/start_wait.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_CASE(a_call_waits_for_a_starting_process_for_a_bounded_time) {
  const Time started{std::chrono::seconds(100)};
  const Time arrived = started + milliseconds(200);
  BOOST_TEST(mayWaitForStart(started, arrived, arrived));
  Time now = arrived;
  while (mayWaitForStart(started, arrived, now)) {
    now += kStartWaitPollInterval;
  }
  BOOST_TEST((now - arrived <= kMaxStartWait));
  BOOST_TEST((now - arrived > kMaxStartWait - 2 * kStartWaitPollInterval));
}

BOOST_AUTO_TEST_CASE(a_call_does_not_wait_once_the_startup_period_has_passed) {
  const Time started{std::chrono::seconds(100)};
  const Time now = started + kStartupPeriod;
  BOOST_TEST(!mayWaitForStart(started, now, now));
  BOOST_TEST(!mayWaitForStart(started, now - kMaxStartWait / 2, now));
}

// Memory limits of the journal of recent calls: number of calls, steps per call, bytes per step.
#include "serving/recent_call_journal.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_CASE(the_oldest_call_is_evicted_and_each_call_is_bounded) {
  Time now{};
  RecentCallJournal journal([&now] { return now; }, 2);
  journal.record("r1", "key", "tenant acme");
  now += std::chrono::milliseconds(40);
  journal.record("r1", "slot", std::string(2 * kMaxStepDetailBytes, 'x'));
  const std::string first = journal.explain("r1").value_or("");
  BOOST_TEST(first.find(R"("after_ms":40)") != std::string::npos);
  BOOST_TEST(first.find(std::string(kMaxStepDetailBytes + 1, 'x')) == std::string::npos);
  for (std::size_t step = 0; step < kMaxStepsPerCall + 5; ++step) {
    journal.record("r2", "engine", "e1");
  }
  BOOST_TEST(journal.explain("r2").value_or("").find(R"("dropped_steps":5)") != std::string::npos);
  journal.record("r3", "key", "");
  BOOST_TEST(!journal.explain("r1").has_value());
  BOOST_TEST(journal.explain("r2").has_value());
  BOOST_TEST(journal.explain("r3").has_value());
}

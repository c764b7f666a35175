/// Tests of the report of items that wait without progress.
#include "batch/stall_detector.h"

#include "batch_fleet.h"

namespace shedshed::test {
namespace {

constexpr Duration kTimeout = StallDetector::kStallTimeout;

}  // namespace

BOOST_AUTO_TEST_SUITE(stall_detector)

BOOST_AUTO_TEST_CASE(a_stall_is_reported_once_with_its_obstacle_and_once_when_it_ends) {
  StallDetector detector;
  const Time start{};
  BOOST_TEST(detector.check({{"m", 3}}, start).begun.empty());
  detector.onObstacle("m", "pool_full: batch m of size 0");
  const StallChanges begun = detector.check({{"m", 2}}, start + kTimeout);
  BOOST_REQUIRE(begun.begun.size() == 1U);
  BOOST_TEST(begun.begun[0].model == "m");
  BOOST_TEST(begun.begun[0].waiting == 2U);
  BOOST_TEST((begun.begun[0].age == kTimeout));
  BOOST_TEST(begun.begun[0].obstacle == "pool_full: batch m of size 0");
  BOOST_TEST(detector.stalledItems() == 2U);
  BOOST_TEST(detector.check({{"m", 2}}, start + 2 * kTimeout).begun.empty());
  detector.onProgress("m");
  BOOST_TEST(detector.check({{"m", 1}}, start + 2 * kTimeout).ended.size() == 1U);
  BOOST_TEST(detector.stalledItems() == 0U);
}

BOOST_AUTO_TEST_CASE(progress_of_another_model_does_not_end_a_stall) {
  StallDetector detector;
  const Time start{};
  (void)detector.check({{"m", 1}, {"other", 1}}, start);
  detector.onProgress("other");
  const StallChanges changes = detector.check({{"m", 1}, {"other", 1}}, start + kTimeout);
  BOOST_REQUIRE(changes.begun.size() == 1U);
  BOOST_TEST(changes.begun[0].model == "m");
}

BOOST_AUTO_TEST_CASE(the_runner_names_the_pool_that_refuses_its_items) {
  BatchFleet fleet;
  fleet.slots.fullPoolKeys = {"m"};
  (void)fleet.accepted(BatchFleet::batchOf(4));
  fleet.harness.advance(10s);
  const auto& events = fleet.harness.events;
  const auto stalled = std::find_if(events.begin(), events.end(), [](const std::string& text) {
    return text.rfind("ItemsStalled", 0) == 0;
  });
  BOOST_REQUIRE(stalled != events.end());
  BOOST_TEST(stalled->find("model=m") != std::string::npos);
  BOOST_TEST(stalled->find("pool_full") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

/// Tests of the number of items in flight: rejected slot requests and concurrent batches.
#include "batch_fleet.h"

namespace shedshed::test {

BOOST_AUTO_TEST_SUITE(item_slots)

BOOST_AUTO_TEST_CASE(rejectedSlotsPauseTheBatchAndOneItemProbes) {
  BatchFleet fleet;
  fleet.slots.capacity = 0;
  fleet.accepted(BatchFleet::batchOf(100));
  fleet.harness.advance(9s);
  BOOST_TEST(fleet.slots.requests.size() == 1U);
  fleet.harness.advance(60s);
  BOOST_TEST(fleet.slots.requests.size() >= 4U);
  BOOST_TEST(fleet.slots.requests.size() <= 7U);
  for (std::size_t index = 1; index < fleet.slots.requests.size(); ++index) {
    const Duration pause =
        fleet.slots.requests[index].first - fleet.slots.requests[index - 1].first;
    BOOST_TEST((pause >= 10s));
    BOOST_TEST((pause <= 15s + fleet.options.runner.tickInterval));
  }
  BOOST_TEST(fleet.engines.runs.empty());
}

BOOST_AUTO_TEST_CASE(aRejectionKeepsTheGrantedSlotsInUse) {
  constexpr std::size_t kCapacity = 8;
  BatchFleet fleet;
  fleet.slots.capacity = kCapacity;
  fleet.engines.holdAnswers = true;
  fleet.accepted(BatchFleet::batchOf(1000));
  fleet.harness.advance(2s);
  std::size_t inUse = 0;
  constexpr int kSteps = 300;
  for (int step = 0; step < kSteps; ++step) {
    fleet.engines.answerNext();
    fleet.harness.advance(100ms);
    inUse += fleet.slots.held.size();
  }
  // At least three quarters of the capacity stay in use, although the pool rejects repeatedly.
  BOOST_TEST(inUse >= kSteps * kCapacity * 3 / 4);
  BOOST_TEST(fleet.engines.runs.size() >= 200U);
}

BOOST_AUTO_TEST_CASE(aRejectedItemRequestsSlotsAgainAfterTheDelayOnly) {
  BatchFleet fleet;
  fleet.slots.capacity = 4;
  fleet.engines.holdAnswers = true;
  fleet.accepted(BatchFleet::batchOf(1000));
  for (int step = 0; step < 300; ++step) {
    fleet.engines.answerNext();
    fleet.harness.advance(100ms);
  }
  std::map<std::string, std::vector<Time>> requestTimes;
  for (const auto& request : fleet.slots.requests) {
    requestTimes[request.second.requestId].push_back(request.first);
  }
  std::size_t repeated = 0;
  for (const auto& entry : requestTimes) {
    for (std::size_t index = 1; index < entry.second.size(); ++index) {
      BOOST_TEST((entry.second[index] - entry.second[index - 1] >= 10s));
      ++repeated;
    }
  }
  BOOST_TEST(repeated > 0U);
}

BOOST_AUTO_TEST_CASE(aFullPoolOfOneModelDoesNotPauseTheOthers) {
  BatchFleet fleet;
  fleet.slots.fullPoolKeys = {"full"};
  BatchSubmission submission = BatchFleet::batchOf(100);
  for (std::size_t index = 0; index < 50; ++index) {
    submission.items[index] = "{\"model\":\"full\",\"n\":\"" + std::to_string(index) + "\"}";
  }
  const std::string id = fleet.accepted(submission);
  fleet.harness.advance(9s);
  BOOST_TEST(fleet.status(id).value().done == 50U);
  BOOST_TEST(fleet.status(id).value().pending == 50U);
}

// Regression: waiting items kept requesting slots of the service to which their route had led when
// they were fetched, also after its engines had left.
BOOST_AUTO_TEST_CASE(items_that_wait_while_their_route_moves_never_run) {
  BatchFleet fleet;
  fleet.slots.fullPoolKeys = {"m"};
  const std::string id = fleet.accepted(BatchFleet::batchOf(40));
  fleet.harness.advance(5s);
  BOOST_TEST(fleet.status(id).value().pending == 40U);
  fleet.engines.move("m", "moved");
  fleet.harness.advance(3s);
  BOOST_TEST(fleet.status(id).value().done == 40U);
  BOOST_TEST(fleet.slots.requests.back().second.limits.back().pool.key == "moved");
}

// Regression: an item that got no slots was never listed, however long it had waited.
BOOST_AUTO_TEST_CASE(items_without_slots_are_not_listed_after_their_longest_wait) {
  BatchFleet fleet;
  fleet.slots.capacity = 0;
  fleet.engines.giveUpAfter = 40s;
  const std::string id = fleet.accepted(BatchFleet::batchOf(100));
  fleet.harness.advance(39s);
  BOOST_TEST(fleet.status(id).value().pending == 100U);
  fleet.harness.advance(5s);
  BOOST_REQUIRE(fleet.status(id).value().failed == 100U);
  BOOST_TEST(fleet.page(id, 0, 1).results.front().errorType == "deadline_exceeded");
  BOOST_TEST(fleet.engines.runs.empty());
}

// Regression: an item that every engine refused was sent to engines for ever.
BOOST_AUTO_TEST_CASE(items_that_every_engine_refuses_are_not_listed_after_their_longest_wait) {
  BatchFleet fleet;
  fleet.engines.fail = makeError(ErrorCode::NoEngine, "no engine ran the item", Ran::No);
  fleet.engines.giveUpAfter = 40s;
  const std::string id = fleet.accepted(BatchFleet::batchOf(20));
  fleet.harness.advance(39s);
  BOOST_TEST(fleet.status(id).value().failed == 0U);
  fleet.harness.advance(8s);
  BOOST_TEST(fleet.status(id).value().failed == 20U);
}

// Regression: a run requested a share of each service's slots for the items of all services.
BOOST_AUTO_TEST_CASE(a_run_requests_a_share_for_the_items_of_that_service_only) {
  BatchRun run;
  run.waiting.add({1, {"m"}, 0, "body", {}});
  run.waiting.add({2, {"other"}, 0, "body", {}});
  run.waiting.requeue({3, {"m"}, 0, "body", {}});
  run.items[4].target = {"m"};
  run.items[5].target = {"m"};
  run.items[5].phase = AttemptPhase::Reporting;
  run.items[6].target = {"other"};
  BOOST_TEST(ItemSlots::requestedSlots(run, "m") == 3U);
  BOOST_TEST(ItemSlots::requestedSlots(run, "other") == 2U);
}

BOOST_AUTO_TEST_CASE(twoBatchesShareThePool) {
  BatchFleet fleet;
  fleet.slots.capacity = 8;
  fleet.engines.holdAnswers = true;
  const std::string first = fleet.accepted(BatchFleet::batchOf(1000, "", false, "first"));
  fleet.harness.advance(5s);
  const std::string second = fleet.accepted(BatchFleet::batchOf(1000, "", false, "second"));
  for (int step = 0; step < 1200; ++step) {
    fleet.engines.answerNext();
    fleet.harness.advance(100ms);
  }
  const std::uint64_t firstDone = fleet.status(first).value().done;
  const std::uint64_t secondDone = fleet.status(second).value().done;
  BOOST_TEST(firstDone >= 200U);
  BOOST_TEST(secondDone >= 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

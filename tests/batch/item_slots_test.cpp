/// How many items of a batch are under way: refusals of slots, and batches side by side.
#include "batch_fleet.h"

namespace shedshed::test {

BOOST_AUTO_TEST_SUITE(item_slots)

BOOST_AUTO_TEST_CASE(rejectedSlotsPauseTheBatchAndOneItemProbes) {
  BatchFleet world;
  world.slots.capacity = 0;
  world.accepted(BatchFleet::batchOf(100));
  world.harness.advance(9s);
  BOOST_TEST(world.slots.requests.size() == 1U);
  world.harness.advance(60s);
  BOOST_TEST(world.slots.requests.size() >= 4U);
  BOOST_TEST(world.slots.requests.size() <= 7U);
  for (std::size_t index = 1; index < world.slots.requests.size(); ++index) {
    const Duration pause =
        world.slots.requests[index].first - world.slots.requests[index - 1].first;
    BOOST_TEST((pause >= 10s));
    BOOST_TEST((pause <= 15s + world.options.runner.tick));
  }
  BOOST_TEST(world.engines.runs.empty());
}

BOOST_AUTO_TEST_CASE(aRejectionKeepsTheGrantedSlotsInUse) {
  constexpr std::size_t kCapacity = 8;
  BatchFleet world;
  world.slots.capacity = kCapacity;
  world.engines.holdAnswers = true;
  world.accepted(BatchFleet::batchOf(1000));
  world.harness.advance(2s);
  std::size_t inUse = 0;
  constexpr int kSteps = 300;
  for (int step = 0; step < kSteps; ++step) {
    world.engines.answerNext();
    world.harness.advance(100ms);
    inUse += world.slots.held.size();
  }
  // Most of the room stays in use, although the pool refuses again and again.
  BOOST_TEST(inUse >= kSteps * kCapacity * 3 / 4);
  BOOST_TEST(world.engines.runs.size() >= 200U);
}

BOOST_AUTO_TEST_CASE(aRejectedItemRequestsSlotsAgainAfterTheDelayOnly) {
  BatchFleet world;
  world.slots.capacity = 4;
  world.engines.holdAnswers = true;
  world.accepted(BatchFleet::batchOf(1000));
  for (int step = 0; step < 300; ++step) {
    world.engines.answerNext();
    world.harness.advance(100ms);
  }
  std::map<std::string, std::vector<Time>> asked;
  for (const auto& request : world.slots.requests) {
    asked[request.second.requestId].push_back(request.first);
  }
  std::size_t repeated = 0;
  for (const auto& entry : asked) {
    for (std::size_t index = 1; index < entry.second.size(); ++index) {
      BOOST_TEST((entry.second[index] - entry.second[index - 1] >= 10s));
      ++repeated;
    }
  }
  BOOST_TEST(repeated > 0U);
}

BOOST_AUTO_TEST_CASE(aFullPoolOfOneModelDoesNotPauseTheOthers) {
  BatchFleet world;
  world.slots.fullPoolKeys = {"full"};
  BatchSubmission submission = BatchFleet::batchOf(100);
  for (std::size_t index = 0; index < 50; ++index) {
    submission.items[index] = "{\"model\":\"full\",\"n\":\"" + std::to_string(index) + "\"}";
  }
  const std::string id = world.accepted(submission);
  world.harness.advance(9s);
  BOOST_TEST(world.status(id).value().done == 50U);
  BOOST_TEST(world.status(id).value().pending == 50U);
}

BOOST_AUTO_TEST_CASE(twoBatchesShareThePool) {
  BatchFleet world;
  world.slots.capacity = 8;
  world.engines.holdAnswers = true;
  const std::string first = world.accepted(BatchFleet::batchOf(1000, "", false, "first"));
  world.harness.advance(5s);
  const std::string second = world.accepted(BatchFleet::batchOf(1000, "", false, "second"));
  for (int step = 0; step < 1200; ++step) {
    world.engines.answerNext();
    world.harness.advance(100ms);
  }
  const std::uint64_t firstDone = world.status(first).value().done;
  const std::uint64_t secondDone = world.status(second).value().done;
  BOOST_TEST(firstDone >= 200U);
  BOOST_TEST(secondDone >= 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

/// Runs, starts, results and cancels.
#include "batch_fleet.h"

namespace shedshed::test {

namespace {

/// Stops what the run's node says and hears, and lets the owner find it dead.
void loseRunner(BatchFleet& world, const std::string& runner) {
  world.isolate(runner);
  world.directory.set(runner, NodeRole::Data, NodeState::Dead);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_runner_core)

BOOST_AUTO_TEST_CASE(runsEachItemOnceThroughItsSlots) {
  BatchFleet world;
  const std::string id = world.accepted(BatchFleet::batchOf(50));
  world.harness.advance(5s);
  const BatchStatus status = world.status(id).value();
  BOOST_TEST(status.done == 50U);
  BOOST_TEST(status.pending == 0U);
  BOOST_TEST(world.engines.maxRuns() == 1);
  BOOST_TEST(world.slots.held.empty());
  const SlotRequest& request = world.slots.requests.front().second;
  BOOST_REQUIRE(request.limits.size() == 2U);
  BOOST_TEST(request.limits[0].pool.key == "acme");
  BOOST_TEST(request.limits[1].pool.limiter == "batch");
  BOOST_TEST(request.limits[1].pool.key == "m");
  BOOST_TEST(!request.limits[0].failOpen);
  BOOST_TEST((request.limits[0].timeToLive == 70s));
}

BOOST_AUTO_TEST_CASE(lostRunnerLeavesUnknownOrRepeats) {
  for (const bool repeatable : {false, true}) {
    BatchFleet world;
    world.engines.holdAnswers = true;
    const std::string id = world.accepted(BatchFleet::batchOf(20, "", repeatable));
    world.harness.advance(1s);
    const std::size_t running = world.engines.openCalls.size();
    BOOST_TEST(running == 16U);
    const std::string first = world.runnerOf(id);
    loseRunner(world, first);
    world.engines.openCalls.clear();
    world.engines.holdAnswers = false;
    world.harness.advance(20s);
    if (first == "d2") {
      world.isolatedNodes.clear();
    }
    const BatchStatus status = world.status(id).value();
    BOOST_TEST(world.runnerOf(id) != first);
    BOOST_TEST(status.done == (repeatable ? 20U : 4U));
    BOOST_TEST(status.unknown == (repeatable ? 0U : 16U));
    BOOST_TEST(world.engines.maxRuns() == (repeatable ? 2 : 1));
    BOOST_TEST(world.page(id, 0, 1).results.front().errorType ==
               (repeatable ? "" : "outcome_unknown"));
  }
}

BOOST_AUTO_TEST_CASE(withoutUnknownANonIdempotentItemRunsTwice) {
  BatchFleetOptions options;
  options.owner.safeguards.unknownAfterLostRun = false;
  BatchFleet world(options);
  world.engines.holdAnswers = true;
  const std::string id = world.accepted(BatchFleet::batchOf(3));
  world.harness.advance(1s);
  loseRunner(world, world.runnerOf(id));
  world.engines.holdAnswers = false;
  world.harness.advance(20s);
  BOOST_TEST(world.engines.maxRuns() == 2);
}

BOOST_AUTO_TEST_CASE(startIsDurableBeforeTheEngineIsCalled) {
  for (const bool safe : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.startedBeforeRun = safe;
    BatchFleet world(options);
    world.slots.capacity = 0;
    world.accepted(BatchFleet::batchOf(1));
    world.slots.capacity = 1;
    world.harness.advance(1s);
    world.engines.holdAnswers = true;
    // The write of the start is lost with its owner.
    world.table().holdWrites = true;
    world.harness.advance(16s);
    const std::size_t runsBefore = world.engines.runs.size();
    BOOST_TEST(runsBefore == (safe ? 0U : 1U));
    world.failover(false);
    world.table().holdWrites = false;
    loseRunner(world, world.runnerOf(world.accepted(BatchFleet::batchOf(1, "", false, "other"))));
    world.harness.advance(60s);
    world.engines.holdAnswers = false;
    world.harness.advance(60s);
    BOOST_TEST(world.engines.maxRuns() <= (safe ? 1 : 2));
  }
}

BOOST_AUTO_TEST_CASE(durableStartSurvivesALostOwnerAndRunsOnce) {
  BatchFleet world;
  world.engines.holdAnswers = true;
  const std::string id = world.accepted(BatchFleet::batchOf(5));
  world.harness.advance(1s);
  BOOST_TEST(world.engines.openCalls.size() == 5U);
  const std::string runner = world.runnerOf(id);
  world.failover(false);
  world.harness.advance(3s);
  world.engines.holdAnswers = false;
  while (!world.engines.openCalls.empty()) {
    world.engines.answerNext();
  }
  world.harness.advance(10s);
  BOOST_TEST(world.status(id).value().done == 5U);
  BOOST_TEST(world.runnerOf(id) == runner);
  BOOST_TEST(world.engines.maxRuns() == 1);
}

BOOST_AUTO_TEST_CASE(restartedRunnerProcessIsFenced) {
  BatchFleet world;
  world.engines.holdAnswers = true;
  const std::string id = world.accepted(BatchFleet::batchOf(3));
  world.harness.advance(1s);
  world.startData(world.runnerOf(id));
  world.engines.holdAnswers = false;
  world.harness.advance(20s);
  BOOST_TEST(world.status(id).value().unknown == 3U);
  BOOST_TEST(world.engines.maxRuns() == 1);
}

BOOST_AUTO_TEST_CASE(olderRunIsFenced) {
  for (const bool safe : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.runEpochFence = safe;
    BatchFleet world(options);
    world.slots.capacity = 0;
    const std::string id = world.accepted(BatchFleet::batchOf(1));
    world.harness.advance(1s);
    const std::string first = world.runnerOf(id);
    loseRunner(world, first);
    world.harness.advance(2s);
    BOOST_TEST(world.runnerOf(id) != first);
    std::optional<std::uint8_t> verdict;
    world.harness.filter = [&](const Harness::Envelope& envelope) {
      dispatchMessage<StartReply>(envelope.message,
                                  [&](const StartReply& reply) { verdict = reply.outcome; });
      return true;
    };
    const StartItem late{{id, 1, 77}, 0, 1};
    world.harness.queue.push_back({NodeId{first}, NodeId{world.owner}, encodeMessage(late)});
    world.harness.settle();
    BOOST_REQUIRE(verdict.has_value());
    const bool accepted = *verdict == static_cast<std::uint8_t>(StartOutcome::Accepted);
    BOOST_TEST(accepted == !safe);
  }
}

BOOST_AUTO_TEST_CASE(firstResultWins) {
  for (const bool safe : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.firstResultWins = safe;
    BatchFleet world(options);
    world.engines.holdAnswers = true;
    const std::string id = world.accepted(BatchFleet::batchOf(2));
    std::optional<Message> result;
    world.harness.filter = [&](const Harness::Envelope& envelope) {
      dispatchMessage<FinishItem>(envelope.message, [&](FinishItem finish) {
        finish.body = "another answer";
        result = encodeMessage(finish);
      });
      return true;
    };
    world.harness.advance(1s);
    world.engines.answerNext();
    world.harness.settle();
    BOOST_REQUIRE(result.has_value());
    const std::string before = world.page(id, 0, 1).results.at(0).body;
    world.harness.queue.push_back({NodeId{world.runnerOf(id)}, NodeId{world.owner}, *result});
    world.harness.settle();
    const std::string after = world.page(id, 0, 1).results.at(0).body;
    BOOST_TEST((before == after) == safe);
  }
}

BOOST_AUTO_TEST_CASE(lateResultOfALostRunDoesNotReplaceUnknown) {
  BatchFleet world;
  world.engines.holdAnswers = true;
  const std::string id = world.accepted(BatchFleet::batchOf(1));
  world.harness.advance(1s);
  const std::string first = world.runnerOf(id);
  loseRunner(world, first);
  world.harness.advance(10s);
  world.engines.answerNext();
  world.isolatedNodes.clear();
  world.harness.advance(30s);
  const ResultPage page = world.page(id, 0, 10);
  BOOST_REQUIRE(page.results.size() == 1U);
  BOOST_TEST((page.results[0].state == ItemState::Unknown));
  BOOST_TEST(world.data[first]->runner.idle());
}

BOOST_AUTO_TEST_CASE(cancelledBatchStartsNothing) {
  for (const bool safe : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.cancelStopsStarts = safe;
    BatchFleet world(options);
    world.engines.holdAnswers = true;
    const std::string id = world.accepted(BatchFleet::batchOf(40));
    world.harness.advance(1s);
    BOOST_TEST(world.engines.runs.size() == 16U);
    // Starts are under way when the cancel arrives.
    world.table().holdWrites = true;
    for (int answered = 0; answered < 4; ++answered) {
      world.engines.answerNext();
    }
    world.harness.settle();
    const Time cancelled = world.harness.now;
    std::optional<Result<BatchStatus>> answer;
    world.data["d2"]->client.cancel("acme", id,
                                    [&](Result<BatchStatus> result) { answer.emplace(result); });
    world.harness.settle();
    world.table().holdWrites = false;
    while (!world.table().pending.empty()) {
      world.table().completeNext();
      world.harness.settle();
    }
    world.harness.advance(5s);
    BOOST_REQUIRE(answer.has_value());
    for (int answered = 0; answered < 16; ++answered) {
      world.engines.answerNext();
      world.harness.settle();
    }
    world.engines.holdAnswers = false;
    world.harness.advance(10s);
    const bool startedLate = world.engines.lastRun > cancelled + 3s;
    BOOST_TEST(startedLate == !safe);
    if (safe) {
      const BatchStatus status = world.status(id).value();
      BOOST_TEST(status.cancelled);
      BOOST_TEST(status.done + status.cancelledItems == 40U);
      BOOST_TEST(status.started == 0U);
      world.failover(false);
      const ResultPage page = world.page(id, 0, 100);
      BOOST_TEST(page.complete);
      BOOST_TEST(page.results.size() == 40U);
      BOOST_TEST((page.results.back().state == ItemState::Cancelled));
    }
  }
}

BOOST_AUTO_TEST_CASE(runnerWithoutContactStartsNothingAfterItsLease) {
  BatchFleet world;
  world.engines.holdAnswers = true;
  const std::string id = world.accepted(BatchFleet::batchOf(100));
  world.harness.advance(1s);
  world.isolate(world.runnerOf(id));
  const Time cutAt = world.harness.now;
  for (int step = 0; step < 50; ++step) {
    world.engines.answerNext();
    world.harness.advance(100ms);
  }
  BOOST_TEST((world.engines.lastRun <= cutAt + 3s));
}

BOOST_AUTO_TEST_CASE(itemThatDidNotRunIsRevertedAndOneThatMayHaveRunIsUnknown) {
  BatchFleet world;
  world.engines.fail = makeError(ErrorCode::NoEngine, {}, Ran::No);
  const std::string id = world.accepted(BatchFleet::batchOf(3));
  world.harness.advance(5s);
  BOOST_TEST(world.status(id).value().pending == 3U);
  world.engines.fail = makeError(ErrorCode::EngineFailed, {}, Ran::Unknown);
  world.harness.advance(10s);
  BOOST_TEST(world.status(id).value().unknown == 3U);
  BOOST_TEST(world.engines.maxRuns() == 1);
  BOOST_TEST(world.slots.held.empty());
}

/// "Cancelled" says that an item never ran; one that may have and waited to run again may not be
/// reported so.
BOOST_AUTO_TEST_CASE(idempotentItemThatMayHaveRunIsNotReportedAsCancelled) {
  for (const bool ownerIsLost : {false, true}) {
    BatchFleet world;
    world.engines.holdAnswers = true;
    const std::string id = world.accepted(BatchFleet::batchOf(3, "", true));
    world.harness.advance(1s);
    world.engines.fail = makeError(ErrorCode::EngineFailed, {}, Ran::Unknown);
    world.engines.answerNext();
    world.harness.settle();
    BOOST_REQUIRE(world.cancel(id).has_value());
    if (ownerIsLost) {
      world.failover(false);
    }
    world.engines.fail.reset();
    while (!world.engines.openCalls.empty()) {
      world.engines.answerNext();
    }
    world.harness.advance(10s);
    const BatchStatus status = world.status(id).value();
    BOOST_TEST(status.cancelledItems == 0U);
    BOOST_TEST(status.unknown + status.done == 3U);
    const ResultPage page = world.page(id, 0, 10);
    BOOST_REQUIRE(page.results.size() == 3U);
    for (const ItemResult& result : page.results) {
      BOOST_TEST((result.state == ItemState::Unknown || result.state == ItemState::Done));
    }
    BOOST_TEST(page.complete);
  }
}

/// A fenced store that nobody tells of its loss must not keep a runner by its heartbeat answers.
BOOST_AUTO_TEST_CASE(runnerLeavesAFencedOwnerThatHasNotLearntOfIt) {
  for (const bool unacknowledgedSurvive : {false, true}) {
    BatchFleet world;
    world.engines.holdAnswers = true;
    const std::string id = world.accepted(BatchFleet::batchOf(40));
    world.harness.advance(1s);
    world.failover(unacknowledgedSurvive, false);
    world.engines.holdAnswers = false;
    while (!world.engines.openCalls.empty()) {
      world.engines.answerNext();
    }
    world.harness.advance(60s);
    // The status is proved with a majority; a page may come from the fenced store's memory.
    BOOST_TEST(world.status(id).value().done == 40U);
    BOOST_TEST(world.page(id, 0, 100).complete);
    BOOST_TEST(world.engines.maxRuns() == 1);
  }
}

BOOST_AUTO_TEST_CASE(invalidItemFailsWithoutAnEngine) {
  BatchFleet world;
  BatchSubmission submission = BatchFleet::batchOf(2);
  submission.items[0] = "not json";
  const std::string id = world.accepted(submission);
  world.harness.advance(3s);
  const ResultPage page = world.page(id, 0, 10);
  BOOST_REQUIRE(page.results.size() == 2U);
  BOOST_TEST((page.results[0].state == ItemState::Failed));
  BOOST_TEST(page.results[0].errorType == "invalid_argument");
  BOOST_TEST((page.results[1].state == ItemState::Done));
}

BOOST_AUTO_TEST_CASE(drainingRunnerFinishesAndReturnsItsRuns) {
  BatchFleet world;
  world.engines.holdAnswers = true;
  const std::string id = world.accepted(BatchFleet::batchOf(40));
  world.harness.advance(1s);
  const std::string first = world.runnerOf(id);
  world.data[first]->runner.drain();
  world.directory.set(first, NodeRole::Data, NodeState::Draining);
  for (int answered = 0; answered < 16; ++answered) {
    world.engines.answerNext();
  }
  world.engines.holdAnswers = false;
  world.harness.advance(10s);
  BOOST_TEST(world.data[first]->runner.idle());
  BOOST_TEST(world.runnerOf(id) != first);
  BOOST_TEST(world.status(id).value().done == 40U);
  BOOST_TEST(world.engines.maxRuns() == 1);
}

/// Losses, copies, reordering, changes of owner and of runner from a seed. Each unrepeatable item
/// runs at most once, results read never change, and in the end every item has one.
BOOST_AUTO_TEST_CASE(randomFaultsNeitherRepeatNorChangeAnItem) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      BatchFleetOptions options;
      options.client.maxChunkItems = 10;
      BatchFleet world(options);
      std::mt19937_64 random(seed);
      const auto chance = [&](unsigned percent) { return random() % 100 < percent; };
      bool faulty = true;
      world.harness.filter = [&](const Harness::Envelope& envelope) {
        if (world.isolatedNodes.count(envelope.from.address) +
            world.isolatedNodes.count(envelope.to.address)) {
          return false;
        }
        if (faulty && chance(5)) {
          world.harness.queue.push_back(envelope);
        }
        return !(faulty && chance(10));
      };
      const auto answer = world.submit(BatchFleet::batchOf(60, "key"));
      for (int wait = 0; !answer->has_value() && wait < 200; ++wait) {
        world.harness.advance(100ms);
      }
      BOOST_REQUIRE(answer->has_value() && (*answer)->has_value());
      const std::string id = (*answer)->value().id;
      std::map<std::uint64_t, std::string> seen;
      world.engines.holdAnswers = true;
      bool cancelled = false;
      const auto readAll = [&] {
        const ResultPage page = world.page(id, 0, 100);
        for (const ItemResult& result : page.results) {
          const std::string text = std::to_string(static_cast<int>(result.state)) + result.body;
          const auto known = seen.emplace(result.position, text);
          BOOST_TEST(known.first->second == text);
        }
        return page;
      };
      for (int step = 0; step < 60; ++step) {
        world.harness.advance(std::chrono::milliseconds(random() % 900));
        const bool holding = chance(20);
        world.table().holdWrites = holding;
        for (std::uint64_t answers = random() % 6; answers > 0; --answers) {
          world.engines.answerNext();
        }
        world.harness.advance(std::chrono::milliseconds(random() % 300));
        if (chance(8)) {
          world.failover(chance(50), chance(70));
        }
        world.table().holdWrites = false;
        while (!world.table().pending.empty()) {
          world.table().completeNext();
        }
        if (chance(5)) {
          world.startData(chance(50) ? "d1" : "d2");
        }
        if (chance(4)) {
          world.isolatedNodes = {chance(50) ? "d1" : "d2"};
        } else if (chance(30)) {
          world.isolatedNodes.clear();
        }
        if (!cancelled && seed % 4 == 0 && step == 40 && world.isolatedNodes.count("d2") == 0) {
          cancelled = world.cancel(id).has_value();
        }
        if (chance(20) && world.isolatedNodes.count("d2") == 0) {
          readAll();
        }
      }
      faulty = false;
      world.isolatedNodes.clear();
      world.engines.holdAnswers = false;
      while (!world.engines.openCalls.empty()) {
        world.engines.answerNext();
      }
      world.harness.advance(120s);
      const ResultPage page = readAll();
      BOOST_TEST(page.complete);
      BOOST_TEST(page.results.size() == 60U);
      BOOST_TEST(world.engines.maxRuns() == 1);
      BOOST_TEST(world.slots.held.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

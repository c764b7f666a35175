/// Tests of runs, starts, results and cancellation on a fleet of fake nodes.
#include "batch_fleet.h"

namespace shedshed::test {

namespace {

/// Isolates the runner's node and marks it dead in the directory.
void loseRunner(BatchFleet& fleet, const std::string& runner) {
  fleet.isolate(runner);
  fleet.directory.set(runner, NodeRole::Data, NodeState::Dead);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_runner_core)

BOOST_AUTO_TEST_CASE(runsEachItemOnceThroughItsSlots) {
  BatchFleet fleet;
  const std::string id = fleet.accepted(BatchFleet::batchOf(50));
  fleet.harness.advance(5s);
  const BatchStatus status = fleet.status(id).value();
  BOOST_TEST(status.done == 50U);
  BOOST_TEST(status.pending == 0U);
  BOOST_TEST(fleet.engines.maxRuns() == 1);
  BOOST_TEST(fleet.slots.held.empty());
  const SlotRequest& request = fleet.slots.requests.front().second;
  BOOST_REQUIRE(request.limits.size() == 2U);
  BOOST_TEST(request.limits[0].pool.key == "acme");
  BOOST_TEST(request.limits[1].pool.limiter == "batch");
  BOOST_TEST(request.limits[1].pool.key == "m");
  BOOST_TEST(!request.limits[0].failOpen);
  BOOST_TEST((request.limits[0].timeToLive == 70s));
}

BOOST_AUTO_TEST_CASE(itemsThatCannotBeDecidedYetStayPendingAndRunLater) {
  BatchFleet fleet;
  fleet.engines.modelsUndecided = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(5));
  fleet.harness.advance(10s);
  BOOST_TEST(fleet.status(id).value().pending == 5U);
  fleet.engines.modelsUndecided = false;
  fleet.harness.advance(10s);
  BOOST_TEST(fleet.status(id).value().done == 5U);
}

BOOST_AUTO_TEST_CASE(lostRunnerLeavesUnknownOrRepeats) {
  for (const bool idempotent : {false, true}) {
    BatchFleet fleet;
    fleet.engines.holdAnswers = true;
    const std::string id = fleet.accepted(BatchFleet::batchOf(20, "", idempotent));
    fleet.harness.advance(1s);
    const std::size_t running = fleet.engines.openCalls.size();
    BOOST_TEST(running == 16U);
    const std::string first = fleet.runnerOf(id);
    loseRunner(fleet, first);
    fleet.engines.openCalls.clear();
    fleet.engines.holdAnswers = false;
    fleet.harness.advance(20s);
    if (first == "d2") {
      fleet.isolatedNodes.clear();
    }
    const BatchStatus status = fleet.status(id).value();
    BOOST_TEST(fleet.runnerOf(id) != first);
    BOOST_TEST(status.done == (idempotent ? 20U : 4U));
    BOOST_TEST(status.unknown == (idempotent ? 0U : 16U));
    BOOST_TEST(fleet.engines.maxRuns() == (idempotent ? 2 : 1));
    BOOST_TEST(fleet.page(id, 0, 1).results.front().errorType ==
               (idempotent ? "" : "outcome_unknown"));
  }
}

BOOST_AUTO_TEST_CASE(withoutUnknownANonIdempotentItemRunsTwice) {
  BatchFleetOptions options;
  options.owner.safeguards.unknownAfterLostRun = false;
  BatchFleet fleet(options);
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(3));
  fleet.harness.advance(1s);
  loseRunner(fleet, fleet.runnerOf(id));
  fleet.engines.holdAnswers = false;
  fleet.harness.advance(20s);
  BOOST_TEST(fleet.engines.maxRuns() == 2);
}

BOOST_AUTO_TEST_CASE(startIsDurableBeforeTheEngineIsCalled) {
  for (const bool safeguardEnabled : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.startedBeforeRun = safeguardEnabled;
    BatchFleet fleet(options);
    fleet.slots.capacity = 0;
    fleet.accepted(BatchFleet::batchOf(1));
    fleet.slots.capacity = 1;
    fleet.harness.advance(1s);
    fleet.engines.holdAnswers = true;
    // The write that makes the start durable is lost together with its owner.
    fleet.table().holdWrites = true;
    fleet.harness.advance(16s);
    const std::size_t runsBefore = fleet.engines.runs.size();
    BOOST_TEST(runsBefore == (safeguardEnabled ? 0U : 1U));
    fleet.failover(false);
    fleet.table().holdWrites = false;
    loseRunner(fleet, fleet.runnerOf(fleet.accepted(BatchFleet::batchOf(1, "", false, "other"))));
    fleet.harness.advance(60s);
    fleet.engines.holdAnswers = false;
    fleet.harness.advance(60s);
    BOOST_TEST(fleet.engines.maxRuns() <= (safeguardEnabled ? 1 : 2));
  }
}

BOOST_AUTO_TEST_CASE(durableStartSurvivesALostOwnerAndRunsOnce) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(5));
  fleet.harness.advance(1s);
  BOOST_TEST(fleet.engines.openCalls.size() == 5U);
  const std::string runner = fleet.runnerOf(id);
  fleet.failover(false);
  fleet.harness.advance(3s);
  fleet.engines.holdAnswers = false;
  while (!fleet.engines.openCalls.empty()) {
    fleet.engines.answerNext();
  }
  fleet.harness.advance(10s);
  BOOST_TEST(fleet.status(id).value().done == 5U);
  BOOST_TEST(fleet.runnerOf(id) == runner);
  BOOST_TEST(fleet.engines.maxRuns() == 1);
}

BOOST_AUTO_TEST_CASE(restartedRunnerProcessIsFenced) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(3));
  fleet.harness.advance(1s);
  fleet.startData(fleet.runnerOf(id));
  fleet.engines.holdAnswers = false;
  fleet.harness.advance(20s);
  BOOST_TEST(fleet.status(id).value().unknown == 3U);
  BOOST_TEST(fleet.engines.maxRuns() == 1);
}

BOOST_AUTO_TEST_CASE(olderRunIsFenced) {
  for (const bool safeguardEnabled : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.runEpochFence = safeguardEnabled;
    BatchFleet fleet(options);
    fleet.slots.capacity = 0;
    const std::string id = fleet.accepted(BatchFleet::batchOf(1));
    fleet.harness.advance(1s);
    const std::string first = fleet.runnerOf(id);
    loseRunner(fleet, first);
    fleet.harness.advance(2s);
    BOOST_TEST(fleet.runnerOf(id) != first);
    std::optional<std::uint8_t> outcome;
    fleet.harness.filter = [&](const Harness::Envelope& envelope) {
      dispatchMessage<StartReply>(envelope.message,
                                  [&](const StartReply& reply) { outcome = reply.outcome; });
      return true;
    };
    const StartItem late{{id, 1, 77}, 0, 1};
    fleet.harness.queue.push_back({NodeId{first}, NodeId{fleet.owner}, encodeMessage(late)});
    fleet.harness.settle();
    BOOST_REQUIRE(outcome.has_value());
    const bool accepted = *outcome == static_cast<std::uint8_t>(StartOutcome::Accepted);
    BOOST_TEST(accepted == !safeguardEnabled);
  }
}

BOOST_AUTO_TEST_CASE(firstResultWins) {
  for (const bool safeguardEnabled : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.firstResultWins = safeguardEnabled;
    BatchFleet fleet(options);
    fleet.engines.holdAnswers = true;
    const std::string id = fleet.accepted(BatchFleet::batchOf(2));
    std::optional<Message> result;
    fleet.harness.filter = [&](const Harness::Envelope& envelope) {
      dispatchMessage<FinishItem>(envelope.message, [&](FinishItem finish) {
        finish.body = "another answer";
        result = encodeMessage(finish);
      });
      return true;
    };
    fleet.harness.advance(1s);
    fleet.engines.answerNext();
    fleet.harness.settle();
    BOOST_REQUIRE(result.has_value());
    const std::string before = fleet.page(id, 0, 1).results.at(0).body;
    fleet.harness.queue.push_back({NodeId{fleet.runnerOf(id)}, NodeId{fleet.owner}, *result});
    fleet.harness.settle();
    const std::string after = fleet.page(id, 0, 1).results.at(0).body;
    BOOST_TEST((before == after) == safeguardEnabled);
  }
}

BOOST_AUTO_TEST_CASE(lateResultOfALostRunDoesNotReplaceUnknown) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(1));
  fleet.harness.advance(1s);
  const std::string first = fleet.runnerOf(id);
  loseRunner(fleet, first);
  fleet.harness.advance(10s);
  fleet.engines.answerNext();
  fleet.isolatedNodes.clear();
  fleet.harness.advance(30s);
  const ResultPage page = fleet.page(id, 0, 10);
  BOOST_REQUIRE(page.results.size() == 1U);
  BOOST_TEST((page.results[0].state == ItemState::Unknown));
  BOOST_TEST(fleet.data[first]->runner.idle());
}

BOOST_AUTO_TEST_CASE(cancelledBatchStartsNothing) {
  for (const bool safeguardEnabled : {true, false}) {
    BatchFleetOptions options;
    options.owner.safeguards.cancelStopsStarts = safeguardEnabled;
    BatchFleet fleet(options);
    fleet.engines.holdAnswers = true;
    const std::string id = fleet.accepted(BatchFleet::batchOf(40));
    fleet.harness.advance(1s);
    BOOST_TEST(fleet.engines.runs.size() == 16U);
    // Starts are in flight when the cancellation arrives.
    fleet.table().holdWrites = true;
    for (int answered = 0; answered < 4; ++answered) {
      fleet.engines.answerNext();
    }
    fleet.harness.settle();
    const Time cancelled = fleet.harness.now;
    std::optional<Result<BatchStatus>> answer;
    fleet.data["d2"]->client.cancel("acme", id,
                                    [&](Result<BatchStatus> result) { answer.emplace(result); });
    fleet.harness.settle();
    fleet.table().holdWrites = false;
    while (!fleet.table().pending.empty()) {
      fleet.table().completeNext();
      fleet.harness.settle();
    }
    fleet.harness.advance(5s);
    BOOST_REQUIRE(answer.has_value());
    for (int answered = 0; answered < 16; ++answered) {
      fleet.engines.answerNext();
      fleet.harness.settle();
    }
    fleet.engines.holdAnswers = false;
    fleet.harness.advance(10s);
    const bool startedLate = fleet.engines.lastRun > cancelled + 3s;
    BOOST_TEST(startedLate == !safeguardEnabled);
    if (safeguardEnabled) {
      const BatchStatus status = fleet.status(id).value();
      BOOST_TEST(status.cancelled);
      BOOST_TEST(status.done + status.cancelledItems == 40U);
      BOOST_TEST(status.started == 0U);
      fleet.failover(false);
      const ResultPage page = fleet.page(id, 0, 100);
      BOOST_TEST(page.complete);
      BOOST_TEST(page.results.size() == 40U);
      BOOST_TEST((page.results.back().state == ItemState::Cancelled));
    }
  }
}

BOOST_AUTO_TEST_CASE(runnerWithoutContactStartsNothingAfterItsLease) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(100));
  fleet.harness.advance(1s);
  fleet.isolate(fleet.runnerOf(id));
  const Time isolatedAt = fleet.harness.now;
  for (int step = 0; step < 50; ++step) {
    fleet.engines.answerNext();
    fleet.harness.advance(100ms);
  }
  BOOST_TEST((fleet.engines.lastRun <= isolatedAt + 3s));
}

BOOST_AUTO_TEST_CASE(itemThatDidNotRunIsRevertedAndOneThatMayHaveRunIsUnknown) {
  BatchFleet fleet;
  fleet.engines.fail = makeError(ErrorCode::NoEngine, {}, Ran::No);
  const std::string id = fleet.accepted(BatchFleet::batchOf(3));
  fleet.harness.advance(5s);
  BOOST_TEST(fleet.status(id).value().pending == 3U);
  fleet.engines.fail = makeError(ErrorCode::EngineFailed, {}, Ran::Unknown);
  fleet.harness.advance(10s);
  BOOST_TEST(fleet.status(id).value().unknown == 3U);
  BOOST_TEST(fleet.engines.maxRuns() == 1);
  BOOST_TEST(fleet.slots.held.empty());
}

/// `Cancelled` guarantees that an item never ran. Guards against reporting it for an item that may
/// have run and was waiting for its next attempt when the batch was cancelled.
BOOST_AUTO_TEST_CASE(idempotentItemThatMayHaveRunIsNotReportedAsCancelled) {
  for (const bool ownerIsLost : {false, true}) {
    BatchFleet fleet;
    fleet.engines.holdAnswers = true;
    const std::string id = fleet.accepted(BatchFleet::batchOf(3, "", true));
    fleet.harness.advance(1s);
    fleet.engines.fail = makeError(ErrorCode::EngineFailed, {}, Ran::Unknown);
    fleet.engines.answerNext();
    fleet.harness.settle();
    BOOST_REQUIRE(fleet.cancel(id).has_value());
    if (ownerIsLost) {
      fleet.failover(false);
    }
    fleet.engines.fail.reset();
    while (!fleet.engines.openCalls.empty()) {
      fleet.engines.answerNext();
    }
    fleet.harness.advance(10s);
    const BatchStatus status = fleet.status(id).value();
    BOOST_TEST(status.cancelledItems == 0U);
    BOOST_TEST(status.unknown + status.done == 3U);
    const ResultPage page = fleet.page(id, 0, 10);
    BOOST_REQUIRE(page.results.size() == 3U);
    for (const ItemResult& result : page.results) {
      BOOST_TEST((result.state == ItemState::Unknown || result.state == ItemState::Done));
    }
    BOOST_TEST(page.complete);
  }
}

/// Guards against a runner that keeps its run alive on the heartbeat replies of a fenced store that
/// was not notified of its lost ownership.
BOOST_AUTO_TEST_CASE(runnerLeavesAFencedOwnerThatHasNotLearntOfIt) {
  for (const bool unacknowledgedSurvive : {false, true}) {
    BatchFleet fleet;
    fleet.engines.holdAnswers = true;
    const std::string id = fleet.accepted(BatchFleet::batchOf(40));
    fleet.harness.advance(1s);
    fleet.failover(unacknowledgedSurvive, false);
    fleet.engines.holdAnswers = false;
    while (!fleet.engines.openCalls.empty()) {
      fleet.engines.answerNext();
    }
    fleet.harness.advance(60s);
    // The status is confirmed by a majority; a page may come from the memory of the fenced store.
    BOOST_TEST(fleet.status(id).value().done == 40U);
    BOOST_TEST(fleet.page(id, 0, 100).complete);
    BOOST_TEST(fleet.engines.maxRuns() == 1);
  }
}

BOOST_AUTO_TEST_CASE(invalidItemFailsWithoutAnEngine) {
  BatchFleet fleet;
  BatchSubmission submission = BatchFleet::batchOf(2);
  submission.items[0] = "not json";
  const std::string id = fleet.accepted(submission);
  fleet.harness.advance(3s);
  const ResultPage page = fleet.page(id, 0, 10);
  BOOST_REQUIRE(page.results.size() == 2U);
  BOOST_TEST((page.results[0].state == ItemState::Failed));
  BOOST_TEST(page.results[0].errorType == "invalid_argument");
  BOOST_TEST((page.results[1].state == ItemState::Done));
}

BOOST_AUTO_TEST_CASE(drainingRunnerFinishesAndReturnsItsRuns) {
  BatchFleet fleet;
  fleet.engines.holdAnswers = true;
  const std::string id = fleet.accepted(BatchFleet::batchOf(40));
  fleet.harness.advance(1s);
  const std::string first = fleet.runnerOf(id);
  fleet.data[first]->runner.drain();
  fleet.directory.set(first, NodeRole::Data, NodeState::Draining);
  for (int answered = 0; answered < 16; ++answered) {
    fleet.engines.answerNext();
  }
  fleet.engines.holdAnswers = false;
  fleet.harness.advance(10s);
  BOOST_TEST(fleet.data[first]->runner.idle());
  BOOST_TEST(fleet.runnerOf(id) != first);
  BOOST_TEST(fleet.status(id).value().done == 40U);
  BOOST_TEST(fleet.engines.maxRuns() == 1);
}

/// Seeded schedules of lost, duplicated and reordered messages, failovers and lost runners. Each
/// non-idempotent item runs at most once, results never change once read, and finally every item
/// has a result.
BOOST_AUTO_TEST_CASE(randomFaultsNeitherRepeatNorChangeAnItem) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      BatchFleetOptions options;
      options.client.maxChunkItems = 10;
      BatchFleet fleet(options);
      std::mt19937_64 random(seed);
      const auto chance = [&](unsigned percent) { return random() % 100 < percent; };
      bool injectFaults = true;
      fleet.harness.filter = [&](const Harness::Envelope& envelope) {
        if (fleet.isolatedNodes.count(envelope.from.address) +
            fleet.isolatedNodes.count(envelope.to.address)) {
          return false;
        }
        if (injectFaults && chance(5)) {
          fleet.harness.queue.push_back(envelope);
        }
        return !(injectFaults && chance(10));
      };
      const auto answer = fleet.submit(BatchFleet::batchOf(60, "key"));
      for (int wait = 0; !answer->has_value() && wait < 200; ++wait) {
        fleet.harness.advance(100ms);
      }
      BOOST_REQUIRE(answer->has_value() && (*answer)->has_value());
      const std::string id = (*answer)->value().id;
      std::map<std::uint64_t, std::string> seen;
      fleet.engines.holdAnswers = true;
      bool cancelled = false;
      const auto readAll = [&] {
        const ResultPage page = fleet.page(id, 0, 100);
        for (const ItemResult& result : page.results) {
          const std::string text = std::to_string(static_cast<int>(result.state)) + result.body;
          const auto known = seen.emplace(result.position, text);
          BOOST_TEST(known.first->second == text);
        }
        return page;
      };
      for (int step = 0; step < 60; ++step) {
        fleet.harness.advance(std::chrono::milliseconds(random() % 900));
        const bool holding = chance(20);
        fleet.table().holdWrites = holding;
        for (std::uint64_t answers = random() % 6; answers > 0; --answers) {
          fleet.engines.answerNext();
        }
        fleet.harness.advance(std::chrono::milliseconds(random() % 300));
        if (chance(8)) {
          fleet.failover(chance(50), chance(70));
        }
        fleet.table().holdWrites = false;
        while (!fleet.table().pending.empty()) {
          fleet.table().completeNext();
        }
        if (chance(5)) {
          fleet.startData(chance(50) ? "d1" : "d2");
        }
        if (chance(4)) {
          fleet.isolatedNodes = {chance(50) ? "d1" : "d2"};
        } else if (chance(30)) {
          fleet.isolatedNodes.clear();
        }
        if (!cancelled && seed % 4 == 0 && step == 40 && fleet.isolatedNodes.count("d2") == 0) {
          cancelled = fleet.cancel(id).has_value();
        }
        if (chance(20) && fleet.isolatedNodes.count("d2") == 0) {
          readAll();
        }
      }
      injectFaults = false;
      fleet.isolatedNodes.clear();
      fleet.engines.holdAnswers = false;
      while (!fleet.engines.openCalls.empty()) {
        fleet.engines.answerNext();
      }
      fleet.harness.advance(120s);
      const ResultPage page = readAll();
      BOOST_TEST(page.complete);
      BOOST_TEST(page.results.size() == 60U);
      BOOST_TEST(fleet.engines.maxRuns() == 1);
      BOOST_TEST(fleet.slots.held.empty());
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

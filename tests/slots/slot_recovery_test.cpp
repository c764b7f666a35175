/// @file
/// Slots after a loss of memory: recovery windows and re-assertion.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(lost_memory_grants_nothing_before_holders_reassert) {
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.recoveryWindow = enabled;
    SlotFleet fleet(safeguards);
    fleet.harness.advance(kDirectorySettle);
    fleet.rates.rates["t"].burst = 1;
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
    fleet.isolate("f1:1");
    fleet.takeOver(1, RecoveryKind::MemoryLost);
    const Result<SlotGrant> early = fleet.acquire(1, {SlotFleet::limit("t")});
    BOOST_TEST(early.has_value() == !enabled);
    BOOST_TEST(fleet.numberGrantedTwice() == !enabled);
    if (!enabled) {
      continue;
    }
    fleet.heal();
    fleet.harness.advance(seconds(2));
    BOOST_TEST(fleet.rows() == 1U);
    BOOST_TEST(codeOf(fleet.acquire(1, {SlotFleet::limit("t")})) == ErrorCode::PoolFull);
    BOOST_TEST(fleet.harness.counters.values["slot_over_admissions_total"] == 0);
  }
}

/// A store that has just started may not know all holders: the answers of those that it knows do
/// not end the window (two holders of one number in seeds 2, 23 and 29 of the simulator's chaos
/// scenario).
BOOST_AUTO_TEST_CASE(an_owner_that_has_just_started_does_not_close_the_window_early) {
  SlotFleet fleet;
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.harness.advance(kMinimumRecoveryWindow + seconds(1));
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_error());
  fleet.harness.advance(kDirectorySettle);
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
}

/// A holder that is confirmed dead may only be frozen or partitioned, and relies on its slots until
/// they expire: the window must not close on the answers of the others (seed 36 of the simulator's
/// chaos scenario).
BOOST_AUTO_TEST_CASE(a_window_waits_for_holders_that_are_confirmed_dead) {
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.awaitDeadHolders = enabled;
    SlotFleet fleet(safeguards);
    fleet.harness.advance(kDirectorySettle);
    fleet.rates.rates["t"].burst = 1;
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
    fleet.isolate("f1:1");
    fleet.setState("f1:1", NodeState::Dead);
    fleet.takeOver(1, RecoveryKind::MemoryLost);
    fleet.harness.advance(kMinimumRecoveryWindow + seconds(1));
    BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value() == !enabled);
    BOOST_TEST(fleet.numberGrantedTwice() == !enabled);
    if (enabled) {
      fleet.harness.advance(kTestTimeToLive);
      BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
      BOOST_TEST(!fleet.numberGrantedTwice());
    }
  }
}

/// Once the holder is reachable again its answer closes the window, whatever its state.
BOOST_AUTO_TEST_CASE(a_holder_that_is_confirmed_dead_can_answer) {
  SlotFleet fleet;
  fleet.harness.advance(kDirectorySettle);
  fleet.setState("f1:1", NodeState::Dead);
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.harness.advance(kMinimumRecoveryWindow + seconds(1));
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
}

BOOST_AUTO_TEST_CASE(recovery_window_ends_after_the_longest_time_to_live) {
  SlotFleet fleet;
  fleet.isolate("f1:1");
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.harness.advance(kTestTimeToLive - seconds(1));
  const auto early = fleet.acquire(1, {SlotFleet::limit("u"), SlotFleet::limit("t")});
  BOOST_TEST(early.has_error());
  fleet.harness.advance(seconds(2));
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
}

/// The second takeover finds the table that the first one installed, but that table is incomplete.
BOOST_AUTO_TEST_CASE(takeover_within_a_recovery_window_opens_it_again) {
  SlotFleet fleet;
  fleet.harness.advance(kDirectorySettle);
  fleet.rates.rates["t"].burst = 1;
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  fleet.isolate("f1:1");
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.takeOver(0, RecoveryKind::Complete);
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_error());
  BOOST_TEST(!fleet.numberGrantedTwice());
  fleet.heal();
  fleet.harness.advance(seconds(2));
  fleet.takeOver(1, RecoveryKind::Complete);  // The window was closed: none is opened.
  BOOST_TEST(!fleet.stores[1]->core.explain().at(0).recovering);
  fleet.dataNodes[0]->core.release(1);
  fleet.harness.advance(2 * kHolderTick);  // The first request is redirected.
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
}

/// The grant is in flight while its owner's memory is lost and the holder answers the recovery.
BOOST_AUTO_TEST_CASE(grant_from_before_the_recovery_is_discarded) {
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.discardOldGrants = enabled;
    SlotFleet fleet(safeguards);
    fleet.harness.advance(kDirectorySettle);
    fleet.rates.rates["t"].burst = 1;
    std::vector<Harness::Envelope> delayed;
    fleet.harness.filter = [&](const Harness::Envelope& envelope) {
      const bool reply = envelope.message.service == ServiceId::SlotClient &&
                         envelope.message.kind == AcquireSlotReply::kKind &&
                         envelope.to.address == "f1:1";
      if (reply) {
        delayed.push_back(envelope);
      }
      return !reply;
    };
    fleet.start(0, {SlotFleet::limit("t")});
    fleet.harness.settle();
    fleet.takeOver(1, RecoveryKind::MemoryLost);
    fleet.harness.advance(milliseconds(1050));
    BOOST_REQUIRE(!delayed.empty());
    fleet.isolate("f1:1");
    BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
    fleet.heal();
    fleet.harness.queue.push_front(delayed.front());
    fleet.harness.settle();
    BOOST_TEST(fleet.numberGrantedTwice() == !enabled);
  }
}

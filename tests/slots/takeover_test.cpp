/// @file
/// Slots across takeovers, losses of memory and a faulty network.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(grants_stay_valid_through_a_takeover) {
  SlotFleet fleet;
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  fleet.takeOver(1, RecoveryKind::Complete);
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST(!fleet.numberGrantedTwice());
  fleet.harness.advance(3 * kTestTimeToLive);
  BOOST_TEST(fleet.rows() == 2U);
  BOOST_TEST(fleet.harness.counters.values["slot_over_admissions_total"] == 0);
}

/// A grant whose write never reached a majority must not be known to its holder.
BOOST_AUTO_TEST_CASE(grant_waits_for_a_majority) {
  for (const bool safe : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.grantAfterMajority = safe;
    SlotFleet fleet(safeguards);
    fleet.rates.rates["t"].burst = 1;
    fleet.stores[0]->table.holdWrites = true;
    fleet.start(0, {SlotFleet::limit("t")});
    fleet.harness.settle();
    fleet.takeOver(1, RecoveryKind::Complete);
    fleet.start(1, {SlotFleet::limit("t")});
    fleet.harness.advance(milliseconds(300));
    BOOST_TEST(fleet.numberGrantedTwice() == !safe);
  }
}

/// A fenced owner that still answers renewals would let a holder outlive its successor's expiry.
BOOST_AUTO_TEST_CASE(fenced_owner_confirms_no_renewal) {
  for (const bool safe : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.confirmRenewals = safe;
    SlotFleet fleet(safeguards);
    fleet.rates.rates["t"].burst = 1;
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
    fleet.takeOver(1, RecoveryKind::Complete, false);
    fleet.harness.filter = [](const Harness::Envelope& envelope) {
      return !(envelope.from.address == "f1:1" && envelope.to.address == "s2:1");
    };
    fleet.fronts[0]->locator.redirected(poolPartition({kTenantLimiter, "t"}), {"s1:1"});
    fleet.fronts[1]->locator.redirected(poolPartition({kTenantLimiter, "t"}), {"s2:1"});
    fleet.harness.advance(2 * kTestTimeToLive);
    BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
    BOOST_TEST(fleet.numberGrantedTwice() == !safe);
  }
}

BOOST_AUTO_TEST_CASE(lost_memory_grants_nothing_before_holders_reassert) {
  for (const bool safe : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.recoveryWindow = safe;
    SlotFleet fleet(safeguards);
    fleet.harness.advance(kDirectorySettle);
    fleet.rates.rates["t"].burst = 1;
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
    fleet.cut("f1:1");
    fleet.takeOver(1, RecoveryKind::MemoryLost);
    const Result<SlotGrant> early = fleet.acquire(1, {SlotFleet::limit("t")});
    BOOST_TEST(early.has_value() == !safe);
    BOOST_TEST(fleet.numberGrantedTwice() == !safe);
    if (!safe) {
      continue;
    }
    fleet.heal();
    fleet.harness.advance(seconds(2));
    BOOST_TEST(fleet.rows() == 1U);
    BOOST_TEST(codeOf(fleet.acquire(1, {SlotFleet::limit("t")})) == ErrorCode::PoolFull);
    BOOST_TEST(fleet.harness.counters.values["slot_over_admissions_total"] == 0);
  }
}

/// A store that has just started may not know all holders: that those it knows have answered does
/// not end the window (two holders of one number in chaos 2, 23 and 29 of the simulator).
BOOST_AUTO_TEST_CASE(a_young_owner_does_not_close_the_window_early) {
  SlotFleet fleet;
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.harness.advance(kMinimumRecoveryWindow + seconds(1));
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_error());
  fleet.harness.advance(kDirectorySettle);
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
}

/// A holder that is held dead may only be frozen or cut off, and counts on its slots until they
/// expire: the window must not close on the answers of the others (chaos 36 of the simulator).
BOOST_AUTO_TEST_CASE(a_window_waits_for_holders_that_are_held_dead) {
  for (const bool safe : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.awaitDeadHolders = safe;
    SlotFleet fleet(safeguards);
    fleet.harness.advance(kDirectorySettle);
    fleet.rates.rates["t"].burst = 1;
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
    fleet.cut("f1:1");
    fleet.setState("f1:1", NodeState::Dead);
    fleet.takeOver(1, RecoveryKind::MemoryLost);
    fleet.harness.advance(kMinimumRecoveryWindow + seconds(1));
    BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value() == !safe);
    BOOST_TEST(fleet.numberGrantedTwice() == !safe);
    if (safe) {
      fleet.harness.advance(kTestTimeToLive);
      BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
      BOOST_TEST(!fleet.numberGrantedTwice());
    }
  }
}

/// Once the holder is reachable again its answer closes the window, whatever it is held to be.
BOOST_AUTO_TEST_CASE(a_holder_that_is_held_dead_can_answer) {
  SlotFleet fleet;
  fleet.harness.advance(kDirectorySettle);
  fleet.setState("f1:1", NodeState::Dead);
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.harness.advance(kMinimumRecoveryWindow + seconds(1));
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
}

BOOST_AUTO_TEST_CASE(recovery_window_ends_after_the_longest_time_to_live) {
  SlotFleet fleet;
  fleet.cut("f1:1");
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.harness.advance(kTestTimeToLive - seconds(1));
  const auto early = fleet.acquire(1, {SlotFleet::limit("u"), SlotFleet::limit("t")});
  BOOST_TEST(early.has_error());
  fleet.harness.advance(seconds(2));
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
}

/// The second takeover finds all that the first one installed, but that was incomplete.
BOOST_AUTO_TEST_CASE(takeover_within_a_recovery_window_opens_it_again) {
  SlotFleet fleet;
  fleet.harness.advance(kDirectorySettle);
  fleet.rates.rates["t"].burst = 1;
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  fleet.cut("f1:1");
  fleet.takeOver(1, RecoveryKind::MemoryLost);
  fleet.takeOver(0, RecoveryKind::Complete);
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_error());
  BOOST_TEST(!fleet.numberGrantedTwice());
  fleet.heal();
  fleet.harness.advance(seconds(2));
  fleet.takeOver(1, RecoveryKind::Complete);  // The window was closed: none is opened.
  BOOST_TEST(!fleet.stores[1]->core.explain().at(0).recovering);
  fleet.fronts[0]->core.release(1);
  fleet.harness.advance(2 * kHolderTick);  // The first request is redirected.
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
}

/// The grant is on its way while its owner's memory is lost and the holder answers the recovery.
BOOST_AUTO_TEST_CASE(grant_from_before_the_recovery_is_discarded) {
  for (const bool safe : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.discardOldGrants = safe;
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
    fleet.cut("f1:1");
    BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
    fleet.heal();
    fleet.harness.queue.push_front(delayed.front());
    fleet.harness.settle();
    BOOST_TEST(fleet.numberGrantedTwice() == !safe);
  }
}

namespace {

/// Drops, doubles, delays and reorders messages, from a seed.
class Chaos {
 public:
  Chaos(SlotFleet& fleet, std::uint64_t seed) : fleet_(fleet), random_(seed) {
    fleet.harness.filter = [this](const Harness::Envelope& envelope) { return pass(envelope); };
    for (const auto& store : fleet.stores) {
      store->table.holdWrites = true;
    }
  }

  bool chance(std::uint32_t percent) { return random_() % 100 < percent; }
  std::size_t below(std::size_t bound) { return random_() % bound; }

  void step() {
    fleet_.harness.advance(milliseconds(10));
    for (const auto& store : fleet_.stores) {
      while (chance(70) && store->table.completeOne()) {
      }
    }
    for (std::size_t i = 0; i < delayed_.size();) {
      if (!chance(40)) {
        ++i;
        continue;
      }
      fleet_.harness.queue.push_front(std::move(delayed_[i]));
      delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(i));
      passing_ = true;
      fleet_.harness.settle();
    }
    if (chance(1)) {
      takeOver();
    }
    if (chance(1)) {
      cutFront_ = chance(50) ? "" : chance(50) ? "f1:1" : "f2:1";
    }
  }

 private:
  bool pass(const Harness::Envelope& envelope) {
    if (passing_) {
      passing_ = false;
      return true;
    }
    const bool cut = envelope.to.address == cutFront_ || envelope.from.address == cutFront_;
    if (cut || chance(5)) {
      return false;
    }
    delayed_.push_back(envelope);
    if (chance(10)) {
      delayed_.push_back(envelope);
    }
    return false;
  }

  void takeOver() {
    const int to = fleet_.majority.owner.address == "s1:1" ? 1 : 0;
    const RecoveryKind recovery = chance(30) ? RecoveryKind::MemoryLost : RecoveryKind::Complete;
    fleet_.takeOver(to, recovery, chance(50), below(3));
  }

  SlotFleet& fleet_;
  RandomEngine random_;
  std::vector<Harness::Envelope> delayed_;
  std::string cutFront_;
  bool passing_ = false;
};

}  // namespace

BOOST_AUTO_TEST_CASE(no_number_is_held_twice_under_faults) {
  std::size_t grants = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    SlotFleet fleet;
    fleet.harness.random.seed(seed);
    fleet.majority.indices = {poolPartition({kTenantLimiter, "t"}).index};
    Chaos chaos(fleet, seed);
    std::vector<std::pair<int, std::uint64_t>> held;
    for (int step = 0; step < 2000; ++step) {
      if (chaos.chance(5)) {
        const int front = static_cast<int>(chaos.below(2));
        fleet.fronts[front]->core.acquire({"r", SlotClass::Live, {SlotFleet::limit("t")}},
                                          [&, front](Result<SlotGrant> result) {
                                            if (result) {
                                              held.push_back({front, result.value().grantId});
                                              ++grants;
                                            }
                                          });
      }
      if (!held.empty() && chaos.chance(2)) {
        const std::size_t chosen = chaos.below(held.size());
        fleet.fronts[held[chosen].first]->core.release(held[chosen].second);
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(chosen));
      }
      chaos.step();
      BOOST_REQUIRE_MESSAGE(!fleet.numberGrantedTwice(), "seed " << seed << " step " << step);
    }
  }
  BOOST_TEST_MESSAGE("grants under faults: " << grants);
  BOOST_TEST(grants > 1000U);
}

BOOST_AUTO_TEST_CASE(release_follows_the_partition_back_to_its_first_owner) {
  SlotFleet fleet;
  const PartitionId partition = poolPartition({kTenantLimiter, "t"});
  const int first = ownerOrder(partition, {{"s1:1"}, {"s2:1"}})[0].address == "s1:1" ? 0 : 1;
  fleet.takeOver(first, RecoveryKind::Complete);
  fleet.takeOver(1 - first, RecoveryKind::Complete);
  const auto grant = fleet.acquire(0, {SlotFleet::limit("t")});
  BOOST_REQUIRE(grant.has_value());
  BOOST_TEST(fleet.rows() == 1U);
  fleet.takeOver(first, RecoveryKind::Complete);
  fleet.fronts[0]->core.release(grant.value().grantId);
  fleet.harness.advance(seconds(2));
  BOOST_TEST(fleet.rows() == 0U);
  BOOST_TEST(fleet.fronts[0]->core.idle());
}

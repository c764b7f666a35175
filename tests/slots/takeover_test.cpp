/// @file
/// Slots across takeovers.
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
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.grantAfterMajority = enabled;
    SlotFleet fleet(safeguards);
    fleet.rates.rates["t"].burst = 1;
    fleet.stores[0]->table.delayWrites = true;
    fleet.start(0, {SlotFleet::limit("t")});
    fleet.harness.settle();
    fleet.takeOver(1, RecoveryKind::Complete);
    fleet.start(1, {SlotFleet::limit("t")});
    fleet.harness.advance(milliseconds(300));
    BOOST_TEST(fleet.numberGrantedTwice() == !enabled);
  }
}

/// A fenced owner that still answers renewals would let a holder outlive its successor's expiry.
BOOST_AUTO_TEST_CASE(fenced_owner_confirms_no_renewal) {
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.confirmRenewals = enabled;
    SlotFleet fleet(safeguards);
    fleet.rates.rates["t"].burst = 1;
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
    fleet.takeOver(1, RecoveryKind::Complete, false);
    fleet.harness.filter = [](const Harness::Envelope& envelope) {
      return !(envelope.from.address == "f1:1" && envelope.to.address == "s2:1");
    };
    fleet.dataNodes[0]->locator.redirected(poolPartition({kTenantLimiter, "t"}), {"s1:1"});
    fleet.dataNodes[1]->locator.redirected(poolPartition({kTenantLimiter, "t"}), {"s2:1"});
    fleet.harness.advance(2 * kTestTimeToLive);
    BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
    BOOST_TEST(fleet.numberGrantedTwice() == !enabled);
  }
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
  fleet.dataNodes[0]->core.release(grant.value().grantId);
  fleet.harness.advance(seconds(2));
  BOOST_TEST(fleet.rows() == 0U);
  BOOST_TEST(fleet.dataNodes[0]->core.idle());
}

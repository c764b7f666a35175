// Takeovers after the loss of the owner, from a draining owner, and by a returning store.
#include "partition/takeover_policy.h"

#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(draining_owner_is_replaced_at_once_by_the_next_store) {
  for (const PartitionId& id : {kSlots, kBatches}) {
    Fleet fleet;
    const auto order = fleet.order(id);
    fleet.writeAcknowledged(order[0], id, "key", "value");
    fleet.markDraining(order[0]);
    fleet.advance(milliseconds(200));
    BOOST_TEST(fleet.owners(id) == std::vector<std::string>{order[1]},
               boost::test_tools::per_element());
    BOOST_TEST((fleet.recovery(order[1], id) == RecoveryKind::Complete));
    BOOST_TEST((fleet.core(order[1]).get(id, "key") == Value("value")));
    BOOST_TEST(fleet.core(order[0]).ownerHint(id).address == order[1]);
  }
}

BOOST_AUTO_TEST_CASE(draining_store_transfers_all_partitions_and_takes_none_back) {
  Fleet fleet;
  fleet.markDraining("a:1");
  fleet.advance(milliseconds(300));
  BOOST_TEST(fleet.core("a:1").ownedPartitions() == 0U);
  fleet.advance(seconds(10));
  BOOST_TEST(fleet.core("a:1").ownedPartitions() == 0U);
  BOOST_TEST(fleet.core("b:1").ownedPartitions() + fleet.core("c:1").ownedPartitions() ==
             2 * kPartitionCount);
}

BOOST_AUTO_TEST_CASE(restarted_store_takes_its_partitions_back) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  fleet.markDraining(order[0]);
  fleet.advance(seconds(1));
  fleet.kill(order[0]);
  fleet.start(order[0]);
  fleet.advance(seconds(8));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[0]},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(draining_store_continues_to_own_while_all_replicas_drain) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  fleet.markDraining(order[0]);
  fleet.markDraining(order[1]);
  fleet.markDraining(order[2]);
  fleet.advance(seconds(10));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[0]},
             boost::test_tools::per_element());
  const Outcome write = fleet.write(order[0], kSlots, "key", "value");
  fleet.advance(milliseconds(100));
  BOOST_TEST(write.succeeded());
}

BOOST_AUTO_TEST_CASE(draining_owner_serves_until_the_successor_can_be_reached) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  fleet.writeAcknowledged(order[0], kSlots, "key", "value");
  fleet.blockLink(order[0], order[1]);
  fleet.blockLink(order[2], order[1]);
  fleet.kill(order[1]);
  fleet.start(order[1]);
  fleet.markDraining(order[0]);
  fleet.advance(seconds(3));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[0]},
             boost::test_tools::per_element());
  fleet.blockedLinks.clear();
  fleet.advance(seconds(1));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[1]},
             boost::test_tools::per_element());
  BOOST_TEST((fleet.recovery(order[1], kSlots) == RecoveryKind::Complete));
  BOOST_TEST((fleet.core(order[1]).get(kSlots, "key") == Value("value")));
}

BOOST_AUTO_TEST_CASE(returning_store_takes_over_after_the_failback_delay) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  fleet.killAndMarkDead(order[0]);
  fleet.advance(seconds(1));
  fleet.writeAcknowledged(order[1], kSlots, "key", "value");
  fleet.start(order[0]);
  fleet.advance(TakeoverPolicy::kFailbackDelay - milliseconds(200));
  BOOST_TEST(fleet.core(order[1]).owns(kSlots));
  fleet.advance(seconds(1));
  BOOST_TEST(fleet.core(order[0]).owns(kSlots));
  BOOST_TEST(!fleet.core(order[1]).owns(kSlots));
  BOOST_TEST((fleet.recovery(order[0], kSlots) == RecoveryKind::Complete));
  BOOST_TEST((fleet.core(order[0]).get(kSlots, "key") == Value("value")));
}

BOOST_AUTO_TEST_CASE(store_partitioned_from_an_active_owner_does_not_displace_it) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  const std::uint64_t epoch = fleet.core(order[0]).epoch(kSlots);
  fleet.blockLink(order[0], order[1]);
  fleet.advance(seconds(30));
  BOOST_TEST(fleet.core(order[0]).epoch(kSlots) == epoch);
  BOOST_TEST(!fleet.core(order[1]).owns(kSlots));
}

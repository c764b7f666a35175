// A store that stops on request hands its partitions over before it ends.
#include "partition/owner_locator.h"
#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

void markDraining(Fleet& fleet, const std::string& name) {
  fleet.directory.set(name, NodeState::Draining, fleet.storeIds[name]);
}

}  // namespace

BOOST_AUTO_TEST_CASE(draining_owner_is_replaced_at_once_by_the_next_store) {
  for (const PartitionId& id : {kSlots, kBatches}) {
    Fleet fleet;
    const auto order = fleet.order(id);
    fleet.store(order[0], id, "key", "value");
    markDraining(fleet, order[0]);
    fleet.advance(milliseconds(200));
    BOOST_TEST(fleet.owners(id) == std::vector<std::string>{order[1]},
               boost::test_tools::per_element());
    BOOST_TEST((fleet.recovery(order[1], id) == RecoveryKind::Complete));
    BOOST_TEST((fleet.core(order[1]).get(id, "key") == Value("value")));
    BOOST_TEST(fleet.core(order[0]).ownerHint(id).address == order[1]);
  }
}

BOOST_AUTO_TEST_CASE(draining_store_ends_up_owning_nothing_and_stays_so) {
  Fleet fleet;
  markDraining(fleet, "a:1");
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
  markDraining(fleet, order[0]);
  fleet.advance(seconds(1));
  fleet.kill(order[0]);
  fleet.start(order[0]);
  fleet.advance(seconds(8));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[0]},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(draining_store_goes_on_owning_while_it_is_the_only_one_left_to) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  markDraining(fleet, order[0]);
  markDraining(fleet, order[1]);
  markDraining(fleet, order[2]);
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
  fleet.store(order[0], kSlots, "key", "value");
  fleet.isolate(order[0], order[1]);
  fleet.isolate(order[2], order[1]);
  fleet.kill(order[1]);
  fleet.start(order[1]);
  markDraining(fleet, order[0]);
  fleet.advance(seconds(3));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[0]},
             boost::test_tools::per_element());
  fleet.cut.clear();
  fleet.advance(seconds(1));
  BOOST_TEST(fleet.owners(kSlots) == std::vector<std::string>{order[1]},
             boost::test_tools::per_element());
  BOOST_TEST((fleet.recovery(order[1], kSlots) == RecoveryKind::Complete));
  BOOST_TEST((fleet.core(order[1]).get(kSlots, "key") == Value("value")));
}

BOOST_AUTO_TEST_CASE(callers_ask_the_successor_of_a_draining_store_first) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  OwnerLocator locator(fleet.directory, fleet.stores[order[0]].configuration);
  BOOST_TEST(locator.candidate(kSlots, 0).address == order[0]);
  markDraining(fleet, order[0]);
  BOOST_TEST(locator.candidate(kSlots, 0).address == order[1]);
  BOOST_TEST(locator.candidate(kSlots, 2).address == order[0]);
  locator.redirected(kSlots, NodeId{order[1]});
  fleet.markDead(order[1]);
  BOOST_TEST(locator.candidate(kSlots, 0).address == order[2]);
}

// Order in which callers try the stores of a partition.
#include "partition/owner_locator.h"

#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(callers_ask_the_successor_of_a_draining_store_first) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  OwnerLocator locator(fleet.directory, fleet.stores[order[0]].configuration);
  BOOST_TEST(locator.candidate(kSlots, 0).address == order[0]);
  fleet.markDraining(order[0]);
  BOOST_TEST(locator.candidate(kSlots, 0).address == order[1]);
  BOOST_TEST(locator.candidate(kSlots, 2).address == order[0]);
  locator.redirected(kSlots, NodeId{order[1]});
  fleet.markDead(order[1]);
  BOOST_TEST(locator.candidate(kSlots, 0).address == order[2]);
}

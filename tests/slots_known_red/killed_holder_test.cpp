// Faults that are not mended yet; see KNOWN-RED.txt.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// Service is back this long after the machines are.
constexpr Duration kRecoveryLimit = seconds(15);

}  // namespace

BOOST_AUTO_TEST_CASE(numbers_of_a_killed_front_are_free_once_it_is_back) {
  SlotFleet fleet;
  SlotLimit limit = SlotFleet::limit("t");
  limit.timeToLive = seconds(60);
  BOOST_REQUIRE(fleet.acquire(0, {limit}).has_value());
  BOOST_REQUIRE(fleet.acquire(0, {limit}).has_value());
  fleet.harness.crash("f1:1");
  fleet.fronts[0] = std::make_unique<Front>(fleet.harness, "f1:1", fleet.directory,
                                            fleet.configuration, SlotSafeguards{});
  fleet.harness.advance(kRecoveryLimit);
  BOOST_TEST(fleet.acquire(1, {limit}).has_value());
}

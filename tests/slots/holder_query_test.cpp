// Owners query the holders of slots that have not been renewed recently.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// Time within which service must recover once the machines have.
constexpr Duration kRecoveryLimit = seconds(15);

SlotLimit longLimit() {
  SlotLimit limit = SlotFleet::limit("t");
  limit.timeToLive = seconds(60);
  return limit;
}

void restartDataNode(SlotFleet& fleet) {
  fleet.harness.crash("f1:1");
  fleet.dataNodes[0] = std::make_unique<DataNode>(fleet.harness, "f1:1", fleet.directory,
                                                  fleet.configuration, SlotSafeguards{});
}

}  // namespace

BOOST_AUTO_TEST_CASE(numbers_of_a_killed_data_node_are_free_once_it_has_restarted) {
  SlotFleet fleet;
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  restartDataNode(fleet);
  fleet.harness.advance(kRecoveryLimit);
  BOOST_TEST(fleet.acquire(1, {longLimit()}).has_value());
}

BOOST_AUTO_TEST_CASE(without_queries_numbers_of_a_killed_data_node_stay_taken) {
  SlotSafeguards safeguards;
  safeguards.queryUnresponsiveHolders = false;
  SlotFleet fleet(safeguards);
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  restartDataNode(fleet);
  fleet.harness.advance(kRecoveryLimit);
  BOOST_TEST(codeOf(fleet.acquire(1, {longLimit()})) == ErrorCode::PoolFull);
}

BOOST_AUTO_TEST_CASE(numbers_of_a_killed_data_node_are_free_at_a_new_owner_too) {
  SlotFleet fleet;
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  restartDataNode(fleet);
  fleet.takeOver(1, RecoveryKind::Complete);
  fleet.harness.advance(kRecoveryLimit);
  BOOST_TEST(fleet.acquire(1, {longLimit()}).has_value());
}

BOOST_AUTO_TEST_CASE(a_slot_in_use_stays_with_its_holder) {
  SlotFleet fleet;
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  fleet.harness.advance(seconds(30));
  BOOST_TEST(fleet.dataNodes[0]->core.leases().size() == 2U);
  BOOST_TEST(codeOf(fleet.acquire(1, {longLimit()})) == ErrorCode::PoolFull);
}

BOOST_AUTO_TEST_CASE(an_unresponsive_holder_keeps_its_slot_for_its_time_to_live) {
  SlotFleet fleet;
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  BOOST_REQUIRE(fleet.acquire(0, {longLimit()}).has_value());
  fleet.isolate("f1:1");
  fleet.harness.advance(seconds(30));
  BOOST_TEST(codeOf(fleet.acquire(1, {longLimit()})) == ErrorCode::PoolFull);
}

/// The query arrives before the grant: the token is still requested.
BOOST_AUTO_TEST_CASE(a_grant_in_flight_is_not_released) {
  SlotFleet fleet;
  const auto outcome = fleet.start(0, {longLimit()});
  BOOST_REQUIRE(fleet.harness.queue.size() == 1U);
  fleet.harness.deliverAt(0);
  BOOST_REQUIRE(!fleet.harness.queue.empty());
  const auto reply = decodeMessage<AcquireSlotReply>(fleet.harness.queue.back().message);
  BOOST_REQUIRE(reply.has_value());
  fleet.harness.queue.push_front(
      {NodeId{"s1:1"}, NodeId{"f1:1"}, encodeMessage(GrantedSlotsQuery{{reply.value().claim}})});
  fleet.harness.settle();
  BOOST_REQUIRE(outcome->has_value());
  BOOST_TEST((*outcome)->has_value());
  BOOST_TEST(fleet.dataNodes[0]->core.leases().size() == 1U);
  BOOST_TEST(fleet.rows() == 1U);
}

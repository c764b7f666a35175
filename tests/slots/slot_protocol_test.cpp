/// @file
/// Acquisition, release and renewal between holders and an owner.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

AcquireSlot acquisition(std::uint64_t token) {
  AcquireSlot request;
  request.claim.limiter = kTenantLimiter;
  request.claim.key = "t";
  request.claim.token = {token, token};
  request.claim.timeToLiveMilliseconds = 6000;
  return request;
}

/// Sends @p requests from a node outside the fleet and returns the answers of the owner.
std::vector<AcquireSlotReply> sendRequests(SlotFleet& fleet,
                                           const std::vector<AcquireSlot>& requests) {
  std::vector<AcquireSlotReply> replies;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    if (envelope.to.address == "f2:1") {
      dispatchMessage<AcquireSlotReply>(
          envelope.message, [&](const AcquireSlotReply& reply) { replies.push_back(reply); });
      return false;
    }
    return true;
  };
  for (const AcquireSlot& request : requests) {
    fleet.harness.queue.push_back({{"f2:1"}, {"s1:1"}, encodeMessage(request)});
    fleet.harness.settle();
  }
  fleet.heal();
  return replies;
}

}  // namespace

BOOST_AUTO_TEST_CASE(same_token_gets_the_same_slot) {
  SlotFleet fleet;
  const auto replies = sendRequests(fleet, {acquisition(7), acquisition(7)});
  BOOST_REQUIRE(replies.size() == 2);
  BOOST_TEST(replies[0].claim.number == replies[1].claim.number);
  BOOST_TEST(fleet.rows() == 1U);

  SlotSafeguards mutated;
  mutated.idempotentTokens = false;
  SlotFleet fleetWithoutIdempotency(mutated);
  sendRequests(fleetWithoutIdempotency, {acquisition(7), acquisition(7)});
  BOOST_TEST(fleetWithoutIdempotency.rows() == 2U);
}

BOOST_AUTO_TEST_CASE(full_pool_refuses_at_once) {
  SlotFleet fleet;
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
  const auto refused = fleet.start(0, {SlotFleet::limit("t")});
  fleet.harness.settle();
  BOOST_REQUIRE(refused->has_value());
  BOOST_TEST((*refused)->has_error());
  BOOST_TEST(codeOf(**refused) == ErrorCode::PoolFull);
  BOOST_TEST(!fleet.numberGrantedTwice());
}

BOOST_AUTO_TEST_CASE(lower_size_hands_out_no_high_numbers_and_revokes_nothing) {
  SlotFleet fleet;
  fleet.rates.rates["t"].burst = 4;
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  }
  fleet.rates.rates["t"].burst = 1;
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.rows() == 4U);
  for (std::uint64_t grant = 1; grant <= 4; ++grant) {
    fleet.dataNodes[0]->core.release(grant);
  }
  fleet.harness.settle();
  BOOST_TEST(fleet.rows() == 0U);
  const Result<SlotGrant> again = fleet.acquire(0, {SlotFleet::limit("t")});
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST(again.value().slots[0].number == 0U);
}

BOOST_AUTO_TEST_CASE(refusal_releases_what_was_taken) {
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.releaseBeforeRefusal = enabled;
    SlotFleet fleet(safeguards);
    fleet.rates.rates["z"] = {0, 0};
    const Result<SlotGrant> refused =
        fleet.acquire(0, {SlotFleet::limit("z"), SlotFleet::limit("t")});
    BOOST_TEST(refused.has_error());
    fleet.harness.settle();
    BOOST_TEST(fleet.rows() == (enabled ? 0U : 1U));
  }
}

BOOST_AUTO_TEST_CASE(a_grant_after_the_store_deadline_is_released) {
  for (const bool enabled : {true, false}) {
    SlotSafeguards safeguards;
    safeguards.releaseLateGrants = enabled;
    safeguards.queryUnresponsiveHolders = false;  // The owner's query would free it as well.
    SlotFleet fleet(safeguards);
    fleet.stores[0]->table.delayWrites = true;
    const Result<SlotGrant> refused = fleet.acquire(0, {SlotFleet::limit("t")});
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST(codeOf(refused) == ErrorCode::StoreUnavailable);
    fleet.stores[0]->table.delayWrites = false;
    while (fleet.stores[0]->table.completeOne()) {
    }
    fleet.harness.advance(seconds(2));
    BOOST_TEST(fleet.rows() == (enabled ? 0U : 1U));
  }
}

BOOST_AUTO_TEST_CASE(delayed_acquisition_after_its_release_takes_no_slot) {
  SlotFleet fleet;
  std::vector<Harness::Envelope> copies;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    if (envelope.message.service == ServiceId::SlotOwner &&
        envelope.message.kind == AcquireSlot::kKind) {
      copies.push_back(envelope);
    }
    return true;
  };
  const Result<SlotGrant> grant = fleet.acquire(0, {SlotFleet::limit("t")});
  fleet.dataNodes[0]->core.release(grant.value().grantId);
  fleet.harness.settle();
  fleet.heal();
  for (const Harness::Envelope& copy : copies) {
    fleet.harness.queue.push_back(copy);
  }
  fleet.harness.settle();
  BOOST_TEST(fleet.rows() == 0U);
}

BOOST_AUTO_TEST_CASE(lost_release_is_sent_again) {
  SlotFleet fleet;
  const Result<SlotGrant> grant = fleet.acquire(0, {SlotFleet::limit("t")});
  fleet.isolate("f1:1");
  fleet.dataNodes[0]->core.release(grant.value().grantId);
  fleet.harness.advance(milliseconds(700));
  BOOST_TEST(fleet.rows() == 1U);
  fleet.heal();
  fleet.harness.advance(seconds(3));
  BOOST_TEST(fleet.rows() == 0U);
}

BOOST_AUTO_TEST_CASE(blocked_request_polls_and_keeps_no_slot) {
  SlotFleet fleet;
  fleet.rates.rates["a"] = {0, 1};
  fleet.rates.rates["b"] = {0, 1};
  const Result<SlotGrant> holder = fleet.acquire(1, {SlotFleet::limit("b")});
  const std::vector<SlotLimit> both = {SlotFleet::limit("a", false, seconds(1)),
                                       SlotFleet::limit("b", false, seconds(3))};
  const auto waiting = fleet.start(0, both);
  for (int i = 0; i < 50; ++i) {
    fleet.harness.advance(milliseconds(10));
    BOOST_TEST(fleet.dataNodes[0]->core.leases().empty());
  }
  BOOST_TEST(!waiting->has_value());
  fleet.dataNodes[1]->core.release(holder.value().grantId);
  fleet.harness.advance(milliseconds(200));
  BOOST_REQUIRE(waiting->has_value());
  BOOST_TEST((*waiting)->has_value());

  const auto late = fleet.start(1, both);  // Waits only the smaller block.
  fleet.harness.advance(milliseconds(1100));
  BOOST_REQUIRE(late->has_value());
  BOOST_TEST(codeOf(**late) == ErrorCode::PoolFull);
}

BOOST_AUTO_TEST_CASE(limit_without_numbers_never_waits) {
  SlotFleet fleet;
  fleet.rates.rates["z"] = {0, 0};
  const auto refused = fleet.start(0, {SlotFleet::limit("z", false, seconds(5))});
  fleet.harness.settle();
  BOOST_REQUIRE(refused->has_value());
  BOOST_TEST(codeOf(**refused) == ErrorCode::PoolFull);
}

BOOST_AUTO_TEST_CASE(unreachable_store_fails_open_or_closed) {
  SlotFleet fleet;
  fleet.isolate("f1:1");
  const Result<SlotGrant> open = fleet.acquire(0, {SlotFleet::limit("t", true)});
  BOOST_REQUIRE(open.has_value());
  BOOST_TEST(open.value().slots[0].withoutSlot);
  BOOST_TEST(fleet.harness.counters.values["slot_fail_open_total"] == 1);
  const Result<SlotGrant> closed =
      fleet.acquire(0, {SlotFleet::limit("t", true), SlotFleet::limit("u", false)});
  BOOST_TEST(codeOf(closed) == ErrorCode::StoreUnavailable);
  const Result<SlotGrant> batch =
      fleet.acquire(0, {SlotFleet::limit("m", true, {}, kBatchLimiter)});
  BOOST_TEST(codeOf(batch) == ErrorCode::StoreUnavailable);
}

BOOST_AUTO_TEST_CASE(a_renewed_slot_outlives_its_time_to_live_and_expires_without_renewal) {
  SlotFleet fleet;
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  fleet.harness.advance(5 * kTestTimeToLive);
  BOOST_TEST(fleet.rows() == 1U);
  BOOST_TEST((fleet.dataNodes[0]->core.leases()[0].validUntil > fleet.harness.now));
  fleet.isolate("f1:1");
  fleet.harness.advance(2 * kTestTimeToLive);
  BOOST_TEST(fleet.rows() == 0U);
  BOOST_TEST(fleet.harness.counters.values["slot_expiries_total"] == 1);
}

BOOST_AUTO_TEST_CASE(a_holder_past_its_time_to_live_reasserts_moves_or_is_overcommitted) {
  SlotFleet fleet;
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  fleet.isolate("f1:1");
  fleet.harness.advance(2 * kTestTimeToLive);
  BOOST_TEST(fleet.rows() == 0U);
  BOOST_TEST(fleet.acquire(1, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST(!fleet.numberGrantedTwice());
  fleet.heal();
  fleet.harness.advance(seconds(3));
  BOOST_TEST(fleet.rows() == 2U);
  BOOST_TEST(fleet.dataNodes[0]->core.leases().size() == 1U);
  BOOST_TEST(fleet.harness.counters.values["slot_over_admissions_total"] == 1);
  BOOST_TEST(!fleet.numberGrantedTwice());
}

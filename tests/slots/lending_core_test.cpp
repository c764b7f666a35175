// Capacity lent to batch items, with and without tenants.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// A fleet with a capacity of 40 and without tenants, whose stores run the lending core too.
struct LendingFleet : SlotFleet {
  LendingFleet() {
    rates.rates.clear();
    engines.setReady(40);
    for (const auto& store : stores) {
      HarnessContext& context = harness.context(store->context.self().address, ServiceId::Lending);
      lending.push_back(
          std::make_unique<LendingCore>(context, store->table, rates, engines, directory));
      harness.attach(context, *lending.back());
      lending.back()->start();
    }
  }
  std::uint32_t lent(int store = 0) const {
    const auto found = lending[store]->explain().find("m");
    return found == lending[store]->explain().end() ? 0 : found->second.lent;
  }
  /// Returns how many items get a slot from both the pool of @p tenant and the batch pool.
  std::uint32_t itemsAdmitted(const std::string& tenant) {
    std::uint32_t admitted = 0;
    bool granted = true;
    while (granted) {
      SlotRequest request;
      request.requestId = "item";
      request.serviceClass = SlotClass::BatchItem;
      request.limits = {limit(tenant), limit("m", false, {}, kBatchLimiter)};
      auto outcome = std::make_shared<std::optional<Result<SlotGrant>>>();
      dataNodes[0]->core.acquire(request,
                                 [outcome](Result<SlotGrant> result) { *outcome = result; });
      harness.settle();
      granted = outcome->has_value() && (*outcome)->has_value();
      admitted += granted ? 1 : 0;
    }
    return admitted;
  }
  std::vector<std::unique_ptr<LendingCore>> lending;
};

/// The same with one tenant, whose pool has as many numbers as the engines have capacity.
struct TenantLendingFleet : LendingFleet {
  TenantLendingFleet() { rates.rates["t"] = {0, 40}; }
};

}  // namespace

BOOST_AUTO_TEST_CASE(live_calls_without_a_tenant_take_lent_capacity_back) {
  LendingFleet fleet;
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.lent() == 36U);
  for (int call = 0; call < 10; ++call) {
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("m", true, {}, kServiceLimiter)}).has_value());
  }
  fleet.harness.advance(seconds(1));
  BOOST_TEST(fleet.lent() <= 26U);
}

BOOST_AUTO_TEST_CASE(the_only_tenant_takes_all_lent_capacity) {
  LendingFleet fleet;
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.itemsAdmitted("") == 36U);
}

BOOST_AUTO_TEST_CASE(one_of_two_tenants_leaves_capacity_to_the_other) {
  LendingFleet fleet;
  fleet.rates.rates["t"] = {0, 40};
  fleet.rates.rates["u"] = {0, 40};
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.itemsAdmitted("t") < 36U);
}

BOOST_AUTO_TEST_CASE(lent_capacity_grows_slowly_and_falls_at_once) {
  TenantLendingFleet fleet;
  fleet.harness.advance(milliseconds(1000));
  BOOST_TEST(fleet.lent() <= 4U);
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.lent() == 36U);
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("m", true, {}, kBatchLimiter)}).has_value());
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  }
  fleet.harness.advance(seconds(1));
  BOOST_TEST(fleet.lent() <= 26U);
}

BOOST_AUTO_TEST_CASE(lent_capacity_ends_with_its_singleton_or_an_unknown_store) {
  TenantLendingFleet fleet;
  fleet.harness.advance(seconds(10));
  BOOST_TEST(fleet.lent() > 0U);
  fleet.isolate("s2:1");  // Live by the directory, but its live slots are unknown.
  fleet.harness.advance(seconds(3));
  BOOST_TEST(fleet.lent() == 0U);
  const Result<SlotGrant> refused =
      fleet.acquire(0, {SlotFleet::limit("m", true, {}, kBatchLimiter)});
  BOOST_TEST(codeOf(refused) == ErrorCode::PoolFull);
}

BOOST_AUTO_TEST_CASE(replaced_singleton_lends_nothing) {
  TenantLendingFleet fleet;
  fleet.harness.advance(seconds(10));
  fleet.takeOver(1, RecoveryKind::Complete, false);
  fleet.engines.setReady(4);  // The successor sees less capacity than the first one lent.
  fleet.harness.advance(seconds(4));
  BOOST_TEST(fleet.lent(1) > 0U);
  BOOST_TEST(fleet.lent(1) <= 3U);
  for (int i = 0; i < 3; ++i) {
    const Result<SlotGrant> item =
        fleet.acquire(0, {SlotFleet::limit("m", true, {}, kBatchLimiter)});
    BOOST_TEST(item.has_value());
  }
  const Result<SlotGrant> refused =
      fleet.acquire(0, {SlotFleet::limit("m", true, {}, kBatchLimiter)});
  BOOST_TEST(codeOf(refused) == ErrorCode::PoolFull);
}

// Room lent to batch items where calls have no tenant.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// A fleet of 40 places whose stores run the lending core too.
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
  std::uint32_t lent() const {
    const auto found = lending[0]->explain().find("m");
    return found == lending[0]->explain().end() ? 0 : found->second.lent;
  }
  /// Items that get a slot of the pools of @p tenant and of the model.
  std::uint32_t itemsAdmitted(const std::string& tenant) {
    std::uint32_t admitted = 0;
    bool granted = true;
    while (granted) {
      SlotRequest request;
      request.requestId = "item";
      request.serviceClass = SlotClass::BatchItem;
      request.limits = {limit(tenant), limit("m", false, {}, kBatchLimiter)};
      auto outcome = std::make_shared<std::optional<Result<SlotGrant>>>();
      fronts[0]->core.acquire(request, [outcome](Result<SlotGrant> result) { *outcome = result; });
      harness.settle();
      granted = outcome->has_value() && (*outcome)->has_value();
      admitted += granted ? 1 : 0;
    }
    return admitted;
  }
  std::vector<std::unique_ptr<LendingCore>> lending;
};

}  // namespace

BOOST_AUTO_TEST_CASE(live_calls_without_a_tenant_take_lent_room_back) {
  LendingFleet fleet;
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.lent() == 36U);
  for (int call = 0; call < 10; ++call) {
    BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("m", true, {}, kServiceLimiter)}).has_value());
  }
  fleet.harness.advance(seconds(1));
  BOOST_TEST(fleet.lent() <= 26U);
}

BOOST_AUTO_TEST_CASE(the_only_tenant_takes_all_lent_room) {
  LendingFleet fleet;
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.itemsAdmitted("") == 36U);
}

BOOST_AUTO_TEST_CASE(one_of_two_tenants_leaves_room_to_the_other) {
  LendingFleet fleet;
  fleet.rates.rates["t"] = {0, 40};
  fleet.rates.rates["u"] = {0, 40};
  fleet.harness.advance(seconds(20));
  BOOST_TEST(fleet.itemsAdmitted("t") < 36U);
}

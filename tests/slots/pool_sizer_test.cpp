/// @file
/// Pool sizes and lending.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(size_follows_rate_hold_and_burst) {
  BOOST_TEST(unscaledPoolSize({5, 2}, seconds(2)) == 12U);
  BOOST_TEST(unscaledPoolSize({0.1, 0}, seconds(30)) == 3U);
  BOOST_TEST(unscaledPoolSize({0.1, 1}, seconds(31)) == 5U);
  BOOST_TEST(unscaledPoolSize({0, 0}, seconds(2)) == 0U);
}

BOOST_AUTO_TEST_CASE(sizes_are_scaled_to_the_ready_engines) {
  FakeRates rates;
  FakeEngines engines;
  rates.rates["large"] = {10, 0};  // 20 at the default hold
  rates.rates["small"] = {0, 5};
  rates.rates["none"] = {0, 0};
  PoolSizer sizer(rates, engines);
  sizer.update(Duration{0});
  BOOST_TEST(sizer.size({kTenantLimiter, "large"}).size == 20U);  // No engine table yet.
  engines.setReady(10);
  sizer.update(Duration{0});
  BOOST_TEST(sizer.size({kTenantLimiter, "large"}).size == 8U);
  BOOST_TEST(sizer.size({kTenantLimiter, "small"}).size == 2U);
  BOOST_TEST(sizer.size({kTenantLimiter, "none"}).size == 0U);
  engines.engines->engines[0].state = EngineState::Draining;
  BOOST_TEST(readyEngineCapacity(*engines.engines) == 0U);
}

BOOST_AUTO_TEST_CASE(hold_in_force_moves_at_a_bounded_speed) {
  FakeRates rates;
  FakeEngines engines;
  const PoolName pool{kTenantLimiter, "t"};
  PoolSizer sizer(rates, engines);
  for (int i = 0; i < 200; ++i) {
    sizer.observeHoldTime(pool, seconds(20));
  }
  BOOST_TEST((sizer.holdTime(pool) == kDefaultHoldTime));
  sizer.update(seconds(1));
  BOOST_TEST((sizer.holdTime(pool) == milliseconds(2500)));
  for (int i = 0; i < 30; ++i) {
    sizer.update(seconds(1));
  }
  BOOST_TEST((sizer.holdTime(pool) > seconds(19)));
}

BOOST_AUTO_TEST_CASE(owner_measures_the_hold_time) {
  SlotFleet fleet;
  for (int i = 0; i < 40; ++i) {
    const Result<SlotGrant> grant = fleet.acquire(0, {SlotFleet::limit("t")});
    BOOST_REQUIRE(grant.has_value());
    fleet.harness.advance(milliseconds(500));
    fleet.fronts[0]->core.release(grant.value().grantId);
    fleet.harness.settle();
  }
  const auto pools = fleet.stores[0]->core.explain();
  BOOST_REQUIRE(pools.size() == 1U);
  BOOST_TEST((pools[0].size.holdTime < milliseconds(700)));
  fleet.takeOver(1, RecoveryKind::Complete);
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST((fleet.stores[1]->core.explain()[0].size.holdTime < milliseconds(700)));
}

namespace {

/// A fleet whose stores run the lending core too.
struct LendingFleet : SlotFleet {
  LendingFleet() {
    engines.setReady(40);
    rates.rates["t"] = {0, 40};
    for (const auto& store : stores) {
      const std::string name = store->context.self().address;
      HarnessContext& context = harness.context(name, ServiceId::Lending);
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
  std::vector<std::unique_ptr<LendingCore>> lending;
};

}  // namespace

BOOST_AUTO_TEST_CASE(lent_room_grows_slowly_and_falls_at_once) {
  LendingFleet fleet;
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

BOOST_AUTO_TEST_CASE(lent_room_ends_with_its_singleton_or_an_unknown_store) {
  LendingFleet fleet;
  fleet.harness.advance(seconds(10));
  BOOST_TEST(fleet.lent() > 0U);
  fleet.cut("s2:1");  // Live by the directory, but its live slots are unknown.
  fleet.harness.advance(seconds(3));
  BOOST_TEST(fleet.lent() == 0U);
  const Result<SlotGrant> refused =
      fleet.acquire(0, {SlotFleet::limit("m", true, {}, kBatchLimiter)});
  BOOST_TEST(codeOf(refused) == ErrorCode::PoolFull);
}

BOOST_AUTO_TEST_CASE(replaced_singleton_lends_nothing) {
  LendingFleet fleet;
  fleet.harness.advance(seconds(10));
  fleet.takeOver(1, RecoveryKind::Complete, false);
  fleet.engines.setReady(4);  // The successor sees less room than the first one lent.
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

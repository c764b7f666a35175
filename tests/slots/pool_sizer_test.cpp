/// @file
/// Pool sizes from rates, hold times and ready engines.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(size_follows_rate_hold_time_and_burst) {
  BOOST_TEST(unscaledPoolSize({5, 2}, seconds(2)) == 12U);
  BOOST_TEST(unscaledPoolSize({0.1, 0}, seconds(30)) == 3U);
  BOOST_TEST(unscaledPoolSize({0.1, 1}, seconds(31)) == 5U);
  BOOST_TEST(unscaledPoolSize({0, 0}, seconds(2)) == 0U);
}

BOOST_AUTO_TEST_CASE(sizes_are_scaled_to_the_ready_engines) {
  FakeRates rates;
  FakeEngines engines;
  rates.rates["large"] = {10, 0};  // 20 at the default hold time
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

BOOST_AUTO_TEST_CASE(hold_time_in_force_moves_at_a_bounded_rate) {
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

BOOST_AUTO_TEST_CASE(the_owner_measures_the_hold_time) {
  SlotFleet fleet;
  for (int i = 0; i < 40; ++i) {
    const Result<SlotGrant> grant = fleet.acquire(0, {SlotFleet::limit("t")});
    BOOST_REQUIRE(grant.has_value());
    fleet.harness.advance(milliseconds(500));
    fleet.dataNodes[0]->core.release(grant.value().grantId);
    fleet.harness.settle();
  }
  const auto pools = fleet.stores[0]->core.explain();
  BOOST_REQUIRE(pools.size() == 1U);
  BOOST_TEST((pools[0].size.holdTime < milliseconds(700)));
  fleet.takeOver(1, RecoveryKind::Complete);
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST((fleet.stores[1]->core.explain()[0].size.holdTime < milliseconds(700)));
}

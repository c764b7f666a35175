// Slots of one pool are spread over its engines.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

EngineTable tableOf(int engines) {
  EngineTable table;
  for (int index = 0; index < engines; ++index) {
    const std::string zone = index % 2 == 0 ? "a" : "b";
    table.engines.push_back(
        {"e" + std::to_string(index), "e:1", "m", 4, 0, EngineState::Ready, zone});
  }
  return table;
}

const PoolName kPool{kServiceLimiter, "m"};

}  // namespace

BOOST_AUTO_TEST_CASE(holders_are_spread_evenly) {
  const EngineTable table = tableOf(8);
  EnginePlacement placement;
  std::map<std::string, int> holdersByEngine;
  for (std::uint64_t holder = 0; holder < 80; ++holder) {
    const std::string engine = placement.suggest(table, kPool, "", holder * 7919);
    placement.addHolder(engine);
    ++holdersByEngine[engine];
  }
  BOOST_TEST(holdersByEngine.size() == 8U);
  for (const auto& entry : holdersByEngine) {
    BOOST_TEST(entry.second == 10);
  }
}

BOOST_AUTO_TEST_CASE(an_engine_of_the_same_zone_is_preferred_until_it_is_fuller) {
  const EngineTable table = tableOf(2);
  EnginePlacement placement;
  BOOST_TEST(placement.suggest(table, kPool, "b", 0) == "e1");
  placement.addHolder("e1");
  placement.addHolder("e1");
  BOOST_TEST(placement.suggest(table, kPool, "b", 0) == "e0");
  placement.removeHolder("e1");
  placement.removeHolder("e1");
  BOOST_TEST(placement.suggest(table, kPool, "b", 0) == "e1");
}

BOOST_AUTO_TEST_CASE(only_ready_engines_of_the_pool_are_suggested) {
  EngineTable table = tableOf(2);
  table.engines[0].state = EngineState::Draining;
  table.engines[1].model = "other";
  const EnginePlacement placement;
  BOOST_TEST(placement.suggest(table, kPool, "", 1).empty());
  BOOST_TEST(placement.suggest({}, kPool, "", 1).empty());
  BOOST_TEST(placement.suggest(tableOf(2), {kTenantLimiter, "m"}, "", 1).empty());
}

BOOST_AUTO_TEST_CASE(a_released_slot_no_longer_counts_at_its_engine) {
  SlotFleet fleet;
  *fleet.engines.engines = tableOf(2);
  const std::vector<SlotLimit> limits{SlotFleet::limit("m", false, {}, kServiceLimiter)};
  std::map<std::string, std::uint64_t> grants;
  for (int call = 0; call < 2; ++call) {
    const Result<SlotGrant> grant = fleet.acquire(0, limits);
    BOOST_REQUIRE(grant.has_value());
    grants[grant.value().suggestedEngine()] = grant.value().grantId;
  }
  BOOST_REQUIRE(grants.size() == 2U);
  fleet.dataNodes[0]->core.release(grants["e1"]);
  fleet.harness.settle();
  const Result<SlotGrant> next = fleet.acquire(1, limits);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next.value().suggestedEngine() == "e1");
}

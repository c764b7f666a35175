// Fixed seeds of each scenario; the same seed gives the same run.
#include "run_seed.h"
#include "sim/scenario.h"

using namespace shedshed;
using namespace shedshed::sim;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(fixed_seeds_of_each_scenario_keep_all_invariants) {
  for (const auto& scenario : allScenarios()) {
    for (const std::uint64_t seed : {1, 2}) {
      const SimulationResult result = runSeed(scenario->name(), seed);
      BOOST_TEST(result.live.answered > 0);
      BOOST_TEST(result.batchesAccepted > 0);
      BOOST_TEST(result.changesAcknowledged > 0);
      for (const std::string& violation : result.violations) {
        BOOST_ERROR(scenario->name() << " seed " << seed << ": " << violation);
      }
    }
  }
}

/// A run must not depend on memory addresses, which differ between the runs of one process.
BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_runs_with_faulty_engines) {
  for (const char* scenario : {"engine-faults", "chaos"}) {
    const std::uint64_t first = runSeed(scenario, 2).traceHash;
    BOOST_TEST(runSeed(scenario, 2).traceHash == first);
    BOOST_TEST(runSeed(scenario, 2).traceHash == first);
  }
}

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_runs) {
  const SimulationResult first = runSeed("kill-all-stores", 7);
  const SimulationResult second = runSeed("kill-all-stores", 7);
  BOOST_TEST(first.traceHash == second.traceHash);
  BOOST_TEST(first.events == second.events);
  BOOST_TEST(first.traceHash != runSeed("kill-all-stores", 8).traceHash);
}

BOOST_AUTO_TEST_CASE(unknown_names_are_refused) {
  SimulationOptions options;
  options.scenario = "no-such-scenario";
  BOOST_TEST((simulate(options).error().code == ErrorCode::NotFound));
  BOOST_TEST((switchOff(options.safeguards, "no.such").error().code == ErrorCode::NotFound));
}

// Each fixed seed must violate the invariant when the safeguard is disabled, and must keep it when
// the safeguard is enabled.
#include "run_seed.h"

#include <algorithm>

using namespace shedshed;
using namespace shedshed::sim;
using namespace shedshed::test;

namespace {

struct SafeguardMutation {
  const char* safeguard;
  const char* scenario;
  std::uint64_t seed;
  const char* invariant;
};

const SafeguardMutation kMutations[] = {
    {"registers.finishBeforeAnswer", "racing-operators", 41, "one value per version"},
    {"partitions.emptyReplicaRule", "kill-all-stores", 1, "at most one holder per slot number"},
    {"partitions.fencing", "chaos", 3, "an accepted batch is never lost"},
    {"slots.recoveryWindow", "kill-all-stores", 1, "at most one holder per slot number"},
    {"slots.awaitDeadHolders", "chaos", 43, "at most one holder per slot number"},
    {"slots.grantAfterMajority", "cut-control", 1, "at most one holder per slot number"},
    {"batches.startedBeforeRun", "power-loss", 10, "runs at most once"},
    {"batches.firstResultWins", "chaos", 2, "a result never changes"},
    {"batches.acceptAfterMajority", "power-loss", 2, "an accepted batch is never lost"},
    {"batches.unknownAfterLostRun", "kill-fronts", 2, "runs at most once"},
    {"batches.cancelStopsStarts", "freeze-stores", 6, "a cancelled batch starts no item"},
};

bool hasViolation(const SimulationResult& result, const std::string& invariant) {
  return std::any_of(
      result.violations.begin(), result.violations.end(),
      [&](const std::string& line) { return line.find(invariant) != std::string::npos; });
}

}  // namespace

BOOST_AUTO_TEST_CASE(invariants_detect_each_disabled_safeguard) {
  for (const SafeguardMutation& mutation : kMutations) {
    BOOST_TEST_CONTEXT(mutation.safeguard) {
      const SimulationResult without =
          runSeed(mutation.scenario, mutation.seed, mutation.safeguard);
      BOOST_TEST(hasViolation(without, mutation.invariant));
      const SimulationResult with = runSeed(mutation.scenario, mutation.seed);
      BOOST_TEST(!hasViolation(with, mutation.invariant));
    }
  }
}

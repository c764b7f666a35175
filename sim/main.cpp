/// @file
/// `sim`: runs one simulation and prints its violations.

#include "sim/scenario.h"
#include "sim/simulation.h"

#include <cstdio>
#include <memory>
#include <popt.h>

namespace shedshed::sim {
namespace {

constexpr int kViolations = 1;
constexpr int kUsage = 2;

void printList(const char* title, const std::vector<std::string>& lines) {
  std::printf("%s:\n", title);
  for (const std::string& line : lines) {
    std::printf("  %s\n", line.c_str());
  }
}

int listAll() {
  for (const auto& scenario : allScenarios()) {
    std::printf("scenario %s\n", scenario->name());
  }
  for (const std::string& name : safeguardNames()) {
    std::printf("safeguard %s\n", name.c_str());
  }
  return 0;
}

/// Prints "scenario seed hash" for the seeds 1 to @p seeds of all scenarios.
int printBehaviour(long long seeds) {
  for (const auto& scenario : allScenarios()) {
    for (long long seed = 1; seed <= seeds; ++seed) {
      SimulationOptions options;
      options.scenario = scenario->name();
      options.seed = static_cast<std::uint64_t>(seed);
      const Result<SimulationResult> result = simulate(options);
      if (!result || !result.value().violations.empty()) {
        std::fprintf(stderr, "%s seed %lld: violations\n", scenario->name(), seed);
        return kViolations;
      }
      std::printf("%s %lld %016llx\n", scenario->name(), seed,
                  static_cast<unsigned long long>(result.value().behaviourHash));
    }
  }
  return 0;
}

int report(const SimulationOptions& options, const SimulationResult& result, bool withTrace) {
  std::printf("seed %llu scenario %s hash %016llx violations %zu simulated %.1f s events %llu\n",
              static_cast<unsigned long long>(options.seed), options.scenario.c_str(),
              static_cast<unsigned long long>(result.traceHash), result.violations.size(),
              result.simulatedSeconds, static_cast<unsigned long long>(result.events));
  std::printf("live calls %llu: answered %llu, refused %llu, unknown %llu; batches %llu; "
              "changes %llu\n",
              static_cast<unsigned long long>(result.live.sent),
              static_cast<unsigned long long>(result.live.answered),
              static_cast<unsigned long long>(result.live.refused),
              static_cast<unsigned long long>(result.live.unknown),
              static_cast<unsigned long long>(result.batchesAccepted),
              static_cast<unsigned long long>(result.changesAcknowledged));
  if (withTrace || !result.violations.empty()) {
    printList("trace", result.trace);
  }
  if (result.violations.empty()) {
    return 0;
  }
  printList("violations", result.violations);
  return kViolations;
}

int run(int argc, const char** argv) {
  long long seed = 1;
  char* scenario = nullptr;
  char* without = nullptr;
  long long behaviour = 0;
  int list = 0;
  int trace = 0;
  const poptOption table[] = {
      {"seed", 's', POPT_ARG_LONGLONG, &seed, 0, "Seed of the run", "S"},
      {"scenario", 'c', POPT_ARG_STRING, &scenario, 0, "Scenario (default calm)", "NAME"},
      {"without", 'w', POPT_ARG_STRING, &without, 0, "Safeguard to switch off", "NAME"},
      {"behaviour", 'b', POPT_ARG_LONGLONG, &behaviour, 0,
       "Print the behaviour hash of the seeds 1 to N of all scenarios", "N"},
      {"trace", 't', POPT_ARG_NONE, &trace, 0, "Print the end of the trace in any case", nullptr},
      {"list", 'l', POPT_ARG_NONE, &list, 0, "List scenarios and safeguards", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
      poptGetContext("sim", argc, argv, table, 0), poptFreeContext);
  const int parsed = poptGetNextOpt(context.get());
  if (parsed < -1) {
    std::fprintf(stderr, "%s: %s\n", poptBadOption(context.get(), 0), poptStrerror(parsed));
    return kUsage;
  }
  if (list != 0) {
    return listAll();
  }
  if (behaviour > 0) {
    return printBehaviour(behaviour);
  }
  SimulationOptions options;
  options.seed = static_cast<std::uint64_t>(seed);
  options.scenario = scenario == nullptr ? options.scenario : scenario;
  if (without != nullptr) {
    const Status switched = switchOff(options.safeguards, without);
    if (!switched) {
      std::fprintf(stderr, "%s\n", switched.error().detail.c_str());
      return kUsage;
    }
  }
  const Result<SimulationResult> result = simulate(options);
  if (!result) {
    std::fprintf(stderr, "%s\n", result.error().detail.c_str());
    return kUsage;
  }
  return report(options, result.value(), trace != 0);
}

}  // namespace
}  // namespace shedshed::sim

int main(int argc, const char** argv) {
  return shedshed::sim::run(argc, argv);
}

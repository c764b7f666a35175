/// @file
/// Runs one simulation from a seed, a scenario and a set of safeguards.
#pragma once

#include "assembly/node_options.h"
#include "kernel/error.h"
#include "sim/callers_load.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shedshed::sim {

struct SimulationOptions {
  std::uint64_t seed = 1;
  std::string scenario = "calm";
  Safeguards safeguards;
};

struct SimulationResult {
  std::vector<std::string> violations;
  std::uint64_t traceHash = 0;
  std::uint64_t behaviourHash =
      0;                           ///< Of all messages and records; does not depend on trace texts.
  std::vector<std::string> trace;  ///< The last lines.
  double simulatedSeconds = 0;
  std::uint64_t events = 0;
  LiveCounts live;
  std::uint64_t batchesAccepted = 0;
  std::uint64_t changesAcknowledged = 0;
};

/// Runs one simulation. Fails with `NotFound` for an unknown scenario.
Result<SimulationResult> simulate(const SimulationOptions& options);

/// Names of the safeguards that can be switched off, such as "slots.recoveryWindow".
std::vector<std::string> safeguardNames();

/// Switches a safeguard off. Fails with `NotFound`.
Status switchOff(Safeguards& safeguards, const std::string& name);

}  // namespace shedshed::sim

/// @file
/// Scenarios: which faults are injected into a run, and when.
#pragma once

#include "sim/callers_load.h"
#include "sim/operators_load.h"
#include "sim/sim_fleet.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shedshed::sim {

/// The parts of a simulation that a scenario controls.
struct ScenarioContext {
  World& world;
  SimFleet& fleet;
  OperatorsLoad& operators;
  LiveLoad& live;
  BatchLoad& batches;
};

/// Injects one class of faults while the load runs.
class Scenario {
 public:
  virtual ~Scenario() = default;
  virtual const char* name() const = 0;
  /// Changes the load before it starts.
  virtual void prepare(ScenarioContext& context) { (void)context; }
  /// Runs the world and injects the faults. Faults still active at the end are healed by the
  /// caller.
  virtual void play(ScenarioContext& context) = 0;
};

/// Returns a new object of each scenario, in a fixed order.
std::vector<std::unique_ptr<Scenario>> allScenarios();

/// Returns a scenario, or nullptr if there is none of that name.
std::unique_ptr<Scenario> makeScenario(const std::string& name);

}  // namespace shedshed::sim

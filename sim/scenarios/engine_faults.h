/// @file
/// Faults of engines, for several scenarios.
#pragma once

#include "sim/scenario.h"

namespace shedshed::sim {

/// From now on some answers are crossed, late or cut.
void enableFaultyAnswers(ScenarioContext& context);

/// Crashes, freezes, slows down or drains a random engine for some seconds.
void injectEngineFault(ScenarioContext& context);

}  // namespace shedshed::sim

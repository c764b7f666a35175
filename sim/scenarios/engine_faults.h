/// @file
/// Engine faults shared by several scenarios.
#pragma once

#include "sim/scenario.h"

namespace shedshed::sim {

/// Makes some answers mismatched, late or truncated.
void enableFaultyAnswers(ScenarioContext& context);

/// Crashes, freezes, slows down or drains a random engine for some seconds.
void injectEngineFault(ScenarioContext& context);

}  // namespace shedshed::sim

/// @file
/// JSON encoding of the answers to inspection commands.
#pragma once

#include "batch/batch_client.h"
#include "slots/pool_explanation.h"

#include <string>
#include <vector>

namespace shedshed {

std::string slotsJson(const SlotExplanation& slots);
std::string batchJson(const BatchStatus& batch);
std::string batchesJson(const std::vector<BatchStatus>& batches);

}  // namespace shedshed

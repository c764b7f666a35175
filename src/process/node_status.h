/// @file
/// Status of a process, as reported to operators.
#pragma once

#include "operators/operator_services.h"
#include "partition/partition_store.h"
#include "settings/process_settings.h"

#include <string_view>
#include <vector>

namespace shedshed {

/// Status without the engines, the epochs and the data node's readiness. Core thread only.
NodeStatus describeNode(const ProcessSettings& settings, const ConfigurationSource& configuration,
                        const Directory& directory);

/// The partitions that this store owns. Core thread only.
std::vector<PartitionEpoch> describePartitions(const PartitionStore& partitions);

/// Validates an `engines` value for the operators' API.
Status checkEngineListing(std::string_view json);

}  // namespace shedshed

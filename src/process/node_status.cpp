#include "process/node_status.h"

#include "engines/engine_listing.h"
#include "process/process_start.h"
#include "runtime/node_runtime.h"

namespace shedshed {
namespace {

Status checkFreshness(Duration remaining) {
  if (remaining > Duration{0}) {
    return okStatus();
  }
  return makeError(ErrorCode::NotReady, "the configuration is not proved to be current");
}

void appendOwnedPartitions(const PartitionStore& partitions, TableKind kind, const char* name,
                           std::vector<PartitionEpoch>& out) {
  for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
    const PartitionId partition{kind, index};
    if (partitions.owns(partition)) {
      out.push_back(PartitionEpoch{name, index, partitions.epoch(partition), true});
    }
  }
}

}  // namespace

NodeStatus describeNode(const ProcessSettings& settings, const ConfigurationSource& configuration,
                        const Directory& directory) {
  NodeStatus status;
  status.self = settings.internalAddress;
  status.role = describeSelf(settings, "").role;
  status.zone = settings.zone;
  status.freshRemaining = configuration.freshUntil() - monotonicNow();
  status.ready = checkFreshness(status.freshRemaining);
  for (const char* name : {kSettingsRegister, kEnginesRegister, kMembersRegister}) {
    status.versionsInForce[name] = configuration.current(name).version;
  }
  status.nodes = directory.table();
  return status;
}

std::vector<PartitionEpoch> describePartitions(const PartitionStore& partitions) {
  std::vector<PartitionEpoch> owned;
  appendOwnedPartitions(partitions, TableKind::Slots, "slots", owned);
  appendOwnedPartitions(partitions, TableKind::Batches, "batches", owned);
  return owned;
}

Status checkEngineListing(std::string_view json) {
  const Result<EngineListing> listing = parseEngineListing(json);
  if (!listing) {
    return listing.error();
  }
  return okStatus();
}

}  // namespace shedshed

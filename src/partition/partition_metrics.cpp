#include "partition/partition_metrics.h"

namespace shedshed {

void PartitionMetrics::publish(std::size_t owned, const RepairProgress& progress) {
  publishDiskSpace();
  publishOwned(owned);
  context_.counters().set("partitions_held", progress.caughtUp);
  context_.counters().set("partitions_settled", progress.countedAsReplica);
}

void PartitionMetrics::publishDiskSpace() {
  const RecordSpace space = context_.records().space();
  context_.counters().set("records_used_bytes", static_cast<double>(space.usedBytes));
  context_.counters().set("records_total_bytes", static_cast<double>(space.totalBytes));
  if (space.isScarce() == loggedLowDiskSpace_) {
    return;
  }
  loggedLowDiskSpace_ = space.isScarce();
  TraceEvent event(loggedLowDiskSpace_ ? "DiskSpaceLow" : "DiskSpaceRecovered",
                   loggedLowDiskSpace_ ? Severity::Warning : Severity::Info);
  event.field("used_bytes", space.usedBytes).field("total_bytes", space.totalBytes);
  context_.logEvent(event);
}

void PartitionMetrics::publishOwned(std::size_t owned) {
  if (owned != loggedOwned_) {
    context_.logEvent(TraceEvent("OwnedPartitionsChanged")
                          .field("owned", owned)
                          .field("previously_owned", loggedOwned_));
    loggedOwned_ = owned;
  }
  context_.counters().set("partitions_owned", static_cast<double>(owned));
}

}  // namespace shedshed

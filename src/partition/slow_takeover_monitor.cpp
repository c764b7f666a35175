#include "partition/slow_takeover_monitor.h"

namespace shedshed {

namespace {

std::string nameOf(const PartitionId& partition) {
  return (partition.kind == TableKind::Slots ? "slots/" : "batches/") +
         std::to_string(partition.index);
}

}  // namespace

SlowTakeoverMonitor::SlowTakeoverMonitor(CoreContext& context, const PartitionId& partition)
    : context_(context), partition_(nameOf(partition)) {}

void SlowTakeoverMonitor::takeoverInProgress(std::uint64_t epoch,
                                             const std::function<std::string()>& progress) {
  if (!inProgressSince_) {
    inProgressSince_ = context_.now();
  }
  if (logged_ || context_.now() - *inProgressSince_ < kSlowTakeoverThreshold) {
    return;
  }
  logged_ = true;
  context_.counters().add("partition_slow_takeovers_total");
  context_.logEvent(TraceEvent("TakeoverSlow", Severity::Warning)
                        .field("partition", partition_)
                        .field("epoch", epoch)
                        .field("progress", progress()));
}

void SlowTakeoverMonitor::noTakeoverInProgress(std::uint64_t epoch, bool serves) {
  if (logged_) {
    context_.logEvent(TraceEvent(serves ? "TakeoverFinished" : "TakeoverAbandoned")
                          .field("partition", partition_)
                          .field("epoch", epoch));
  }
  inProgressSince_.reset();
  logged_ = false;
}

}  // namespace shedshed

// What `PartitionCore` tells of itself: progress, counters, log lines.
#include "partition/partition_core.h"

#include <algorithm>
#include <utility>

namespace shedshed {

namespace {

/// A takeover that lasts longer is told in the log.
constexpr Duration kSlowTakeover = std::chrono::seconds(2);

std::string nameOf(const PartitionId& partition) {
  return (partition.kind == TableKind::Slots ? "slots/" : "batches/") +
         std::to_string(partition.index);
}

}  // namespace

std::size_t PartitionCore::ownedPartitions() const {
  return static_cast<std::size_t>(
      std::count_if(places_.begin(), places_.end(),
                    [this](const auto& entry) { return served(entry.first) != nullptr; }));
}

bool PartitionCore::handedOver() const {
  return std::none_of(places_.begin(), places_.end(), [this](const auto& entry) {
    return served(entry.first) != nullptr && hasSuccessor(entry.first);
  });
}

bool PartitionCore::hasSuccessor(const PartitionId& partition) const {
  const StoreMembers replicas = stores_.replicas(partition);
  return std::any_of(replicas.begin(), replicas.end(), [this](const auto& member) {
    return member.id != context_.self() && stores_.isLive(member) && !stores_.isDraining(member.id);
  });
}

RepairProgress PartitionCore::repairProgress() const {
  RepairProgress progress;
  progress.isMember = stores_.selfIsMember();
  for (const auto& entry : places_) {
    if (!stores_.selfHolds(entry.first)) {
      continue;
    }
    ++progress.total;
    const Place& place = entry.second;
    const ReplicaPosition position = place.replica.position();
    const bool recent = context_.now() - place.heardAt < kOwnershipSilence;
    const bool follows = recent && place.heardEpoch != 0 &&
                         position.installedEpoch == place.heardEpoch &&
                         position.sequence >= place.heardSequence;
    if (!follows && served(entry.first) == nullptr) {
      continue;
    }
    ++progress.held;
    const ReplicaState& state = place.replica.state();
    const bool counted = std::any_of(
        state.replicas.begin(), state.replicas.end(), [this](const MemberList::Member& member) {
          return member.id == context_.self() && member.storeId == options_.storeId;
        });
    if (counted && state.setEpoch == state.installedEpoch) {
      ++progress.settled;
    }
  }
  return progress;
}

void PartitionCore::reportSlowTakeover(Place& place) {
  const bool trying = place.takeover || (place.owner && !place.announced);
  if (!trying) {
    if (place.reported) {
      const char* name = place.announced ? "TakeoverFinished" : "TakeoverAbandoned";
      context_.logEvent(TraceEvent(name)
                            .field("partition", nameOf(place.replica.partition()))
                            .field("epoch", place.highestEpoch));
    }
    place.unservedSince.reset();
    place.reported = false;
    return;
  }
  if (!place.unservedSince) {
    place.unservedSince = context_.now();
  }
  if (!place.reported && context_.now() - *place.unservedSince >= kSlowTakeover) {
    place.reported = true;
    context_.counters().add("partition_slow_takeovers_total");
    const std::string progress =
        place.takeover ? place.takeover->progress() : place.owner->progress();
    context_.logEvent(TraceEvent("TakeoverSlow", Severity::Warning)
                          .field("partition", nameOf(place.replica.partition()))
                          .field("epoch", place.highestEpoch)
                          .field("progress", progress));
  }
}

void PartitionCore::publishCounters() {
  const RecordSpace space = context_.records().space();
  context_.counters().set("records_used_bytes", static_cast<double>(space.usedBytes));
  context_.counters().set("records_total_bytes", static_cast<double>(space.totalBytes));
  if (space.isScarce() != loggedScarce_) {
    loggedScarce_ = space.isScarce();
    TraceEvent event(loggedScarce_ ? "DiskSpaceLow" : "DiskSpaceRecovered",
                     loggedScarce_ ? Severity::Warning : Severity::Info);
    event.field("used_bytes", space.usedBytes).field("total_bytes", space.totalBytes);
    context_.logEvent(event);
  }
  const std::size_t owned = ownedPartitions();
  if (owned != loggedOwned_) {
    context_.logEvent(TraceEvent("OwnedPartitionsChanged")
                          .field("owned", owned)
                          .field("previously_owned", loggedOwned_));
    loggedOwned_ = owned;
  }
  context_.counters().set("partitions_owned", static_cast<double>(owned));
  const RepairProgress progress = repairProgress();
  context_.counters().set("partitions_held", progress.held);
  context_.counters().set("partitions_settled", progress.settled);
}

}  // namespace shedshed

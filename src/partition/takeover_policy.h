/// @file
/// When a store may try to take a partition over.
#pragma once

#include "partition/known_owner.h"
#include "partition/store_set.h"

#include <optional>

namespace shedshed {

/// Decides from the agreed order of the replicas and from the last heartbeat whether this node
/// should own one partition. It matters for availability only: two nodes that decide alike fence
/// each other by their epochs, and at most one completes a write. Core thread only.
class TakeoverPolicy {
 public:
  /// Time without an owner after which a store tries to take over although another one, which is
  /// believed to be live, comes before it in the order; once for each such store.
  static constexpr Duration kCandidateTimeout = std::chrono::seconds(5);

  /// A store that has become the first in the order takes over from an active owner only after
  /// this time, so that a store that restarts repeatedly does not move its partitions each time.
  static constexpr Duration kFailbackDelay = std::chrono::seconds(3);

  /// Longest time that a hand-back waits for this replica to be brought up to date by the owner.
  static constexpr Duration kMaxFailbackWait = std::chrono::seconds(30);

  /// Keeps a reference to @p stores.
  TakeoverPolicy(const StoreSet& stores, NodeId self, PartitionId partition);

  /// True if this node, which does not own the partition, should try to. @p installedEpoch is the
  /// one of its replica. To be called at every tick without ownership: the delay of a hand-back
  /// starts when this node is found first in the order.
  bool shouldTakeOver(const KnownOwner& owner, std::uint64_t installedEpoch, Time now);

  /// True if @p candidate comes after the active owner in the order: it is cut off from that owner,
  /// and a takeover would only make the two alternate. @p selfIsActive tells that this node is the
  /// active owner.
  bool displacesActiveOwner(const NodeId& candidate, const KnownOwner& owner, bool selfIsActive,
                            Time now) const;

 private:
  bool isActive(const KnownOwner& owner, Time now) const;

  const StoreSet& stores_;
  const NodeId self_;
  const PartitionId partition_;
  std::optional<Time> firstInOrderSince_;
};

}  // namespace shedshed

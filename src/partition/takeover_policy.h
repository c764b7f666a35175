/// @file
/// Decides when a store takes a partition over.
#pragma once

#include "partition/known_owner.h"
#include "partition/store_set.h"

#include <optional>

namespace shedshed {

/// Decides from the owner order of the replicas and from the last heartbeat whether this node
/// should own one partition. This affects availability only: if two nodes take over at the same
/// time, their epochs fence them, and at most one completes a write. Core thread only.
class TakeoverPolicy {
 public:
  /// Time without an owner, per store that precedes this one in the order and is believed to be
  /// live, after which this store takes over nevertheless.
  static constexpr Duration kCandidateTimeout = std::chrono::seconds(5);

  /// A store that has become the first in the order takes over from an active owner only after
  /// this time, so that a store that restarts repeatedly does not move its partitions each time.
  static constexpr Duration kFailbackDelay = std::chrono::seconds(3);

  /// Longest time for which a failback waits until the owner has brought this replica up to date.
  static constexpr Duration kMaxFailbackWait = std::chrono::seconds(30);

  /// Keeps a reference to @p stores.
  TakeoverPolicy(const StoreSet& stores, NodeId self, PartitionId partition);

  /// True if this node, which does not own the partition, should try to. @p installedEpoch is that
  /// of its replica. To be called at every tick without ownership: the failback delay starts when
  /// this node is found to be first in the order.
  bool shouldTakeOver(const KnownOwner& owner, std::uint64_t installedEpoch, Time now);

  /// True if @p candidate comes after the active owner in the order. It is then partitioned from
  /// that owner, and a takeover would only make the two displace each other in turn.
  /// @p selfIsActive tells whether this node is the active owner.
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

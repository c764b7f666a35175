/// @file
/// Majorities of an owner's replicas.
#pragma once

#include "partition/replica_peer.h"

#include <map>
#include <string>

namespace shedshed {

using ReplicaPeers = std::map<NodeId, ReplicaPeer>;

/// Counts, over the replicas of one epoch, which of them hold a write, confirm the owner or reply
/// at all. Standby stores are among the peers, but are not counted. Core thread only.
class ReplicationQuorum {
 public:
  /// Keeps references to the owner's replica, outcome and peers.
  ReplicationQuorum(const ReplicationSource& source, const ReplicaPeers& peers);

  /// Records that the owner's own replica has synced the epoch; it counts from now on.
  void setSelfInstalled() { selfInstalled_ = true; }
  bool isSelfInstalled() const { return selfInstalled_; }

  /// True if a majority of the replicas holds the epoch up to @p sequence (synced, for `Batches`).
  bool majorityHolds(std::uint64_t sequence) const;
  bool allHold(std::uint64_t sequence) const;

  /// True if the merged table is on a majority of the replicas and of the previous ones.
  ///
  /// The previous ones are needed because another node may not know of the change of members and
  /// take over with a majority of them: one of that majority then reports this epoch.
  bool installedOnMajorities() const;

  /// True if a majority has promised nothing above the epoch as of heartbeat @p round.
  bool majorityConfirms(std::uint64_t round) const;

  /// True if a majority, this node included, replied within @p timeout.
  bool majorityRepliedWithin(Duration timeout) const;

  /// The last write that all replicas hold. All must hold the epoch.
  std::uint64_t lowestSequence() const;

  /// True if a replica reported that it is low on disk space.
  bool isAnyLowOnDiskSpace() const;

  /// Counts of replicas that hold the merged table, for log events.
  std::string progress() const;

 private:
  bool isSelf(const MemberList::Member& member) const;
  /// nullptr if no message was exchanged with @p member yet.
  const ReplicaPeer* peerOf(const MemberList::Member& member) const;
  bool holds(const MemberList::Member& member, std::uint64_t sequence) const;

  const ReplicationSource& source_;
  const ReplicaPeers& peers_;
  bool selfInstalled_ = false;
};

}  // namespace shedshed

/// @file
/// Second phase of a takeover, and the operation of the owner afterwards.
#pragma once

#include "partition/replication_quorum.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace shedshed {

/// Owns one partition at one epoch: writes the merged table back, replicates writes, confirms its
/// ownership and repairs replicas that differ. Core thread only.
///
/// Serving begins when the merged table is on a majority of the present and of the previous
/// replicas. Any later takeover then finds this epoch, also one by a node that does not know of a
/// change of the members yet.
class PartitionOwner {
 public:
  /// While all replicas are live, a durable write waits this long for all of them before a majority
  /// is sufficient.
  static constexpr Duration kAllReplicasTimeout = std::chrono::milliseconds(200);

  /// Time after which `confirm` fails with `NoQuorum`.
  static constexpr Duration kConfirmationTimeout = std::chrono::seconds(2);

  /// Keeps references; they must outlive it. @p changed is called when a step that this node
  /// persists has completed; after `receive` and `write` the caller re-evaluates the state itself.
  PartitionOwner(CoreContext& context, const StoreSet& stores, PartitionReplica& replica,
                 const PartitionOptions& options, const TakeoverOutcome& outcome,
                 std::function<void()> changed);
  PartitionOwner(const PartitionOwner&) = delete;
  PartitionOwner& operator=(const PartitionOwner&) = delete;

  /// Installs the epoch on this node's replica and begins the write-back.
  void begin();

  std::uint64_t epoch() const { return outcome_.epoch; }
  RecoveryKind recovery() const { return outcome_.recovery; }
  const StoreMembers& members() const { return outcome_.replicas; }

  /// True once the write-back has reached both majorities.
  bool isServing() const { return serving_; }

  /// True if a replica rejected this epoch, or no majority has replied for
  /// `PartitionOptions::kHeartbeatTimeout`.
  bool isLost() const;

  /// The higher epoch that a replica named; nullopt if none did.
  std::optional<std::uint64_t> rejectedBy() const { return rejectedBy_; }

  /// Replicates @p entries as one atomic write. `complete` calls @p done once a majority holds it.
  void write(std::vector<TableEntry> entries, std::function<void(Status)> done);

  /// Completes with a majority of replies to heartbeat number @p round or later ones; fails with
  /// NoQuorum after `kConfirmationTimeout`.
  void confirm(std::uint64_t round, std::function<void(Status)> done);
  bool isConfirming() const { return !confirmations_.empty(); }

  /// Progress of the write-back, for log events.
  std::string progress() const { return quorum_.progress(); }

  /// The item for this partition in a heartbeat.
  HeartbeatItem heartbeat() const;

  void receive(const NodeId& from, const std::string& storeId, const PromiseAnswer& answer);
  void receive(const NodeId& from, const InstallReply& reply);
  void receive(const NodeId& from, const ReplicateReply& reply);
  void receive(const NodeId& from, const HeartbeatReply& reply, const ReplicaPosition& position);

  /// True if a replica reported that it is low on disk space.
  bool isReplicaLowOnDiskSpace() const { return quorum_.isAnyLowOnDiskSpace(); }

  /// Adds new peers and retransmits what was not acknowledged in time.
  void tick();

  /// Completes the writes and confirmations that are due. Callbacks may call `write` and `confirm`.
  void complete();

  /// Removes and returns the callbacks of all outstanding writes and confirmations, in order.
  std::vector<std::function<void(Status)>> takeOutstanding();

 private:
  struct PendingWrite {
    std::uint64_t sequence;
    Time begunAt;
    std::function<void(Status)> done;
  };
  struct PendingConfirmation {
    std::uint64_t round;  ///< Number of the first heartbeat whose replies count.
    Time begunAt;
    std::function<void(Status)> done;
  };

  /// Records a reply of @p from and returns that peer.
  ReplicaPeer& replyFrom(const NodeId& from, const std::string& storeId,
                         std::uint64_t promisedEpoch);
  ReplicateRequest nextWrite(std::vector<TableEntry> entries) const;
  void addPeers();
  bool isComplete(const PendingWrite& write) const;
  void completeWrites();
  void completeConfirmations();
  /// Sequence up to which tombstones may be removed; 0 if unknown.
  std::uint64_t stableSequence() const;
  void trimLog();
  /// Returns a callback that calls @p step unless this owner has been destroyed.
  std::function<void()> whileAlive(std::function<void()> step) const;

  CoreContext& context_;
  const StoreSet& stores_;
  PartitionReplica& replica_;
  const PartitionOptions& options_;
  const TakeoverOutcome outcome_;
  const std::function<void()> changed_;
  ReplicationSource source_;
  ReplicaPeers peers_;
  ReplicationQuorum quorum_;
  std::deque<PendingWrite> writes_;
  std::deque<PendingConfirmation> confirmations_;
  std::optional<std::uint64_t> rejectedBy_;
  bool serving_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedshed

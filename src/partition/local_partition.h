/// @file
/// One partition on one store: its replica and this node's role in it.
#pragma once

#include "partition/known_owner.h"
#include "partition/partition_owner.h"
#include "partition/slow_takeover_monitor.h"
#include "partition/takeover_policy.h"

#include <memory>
#include <optional>

namespace shedshed {

/// The local replica of one partition together with this node's role in it.
///
/// The role is one of: follower (neither `takeover_` nor `owner_`), candidate (`takeover_`), owner
/// that writes the merged table back, and serving owner (`announced_`). `PartitionCore` forwards
/// messages and ticks. Decisions that may destroy the takeover or the owner are made in
/// `updateRole`, which runs after the event, so that neither is destroyed by its own call.
/// Core thread only.
class LocalPartition {
 public:
  /// Longest random delay before a rejected takeover is retried.
  static constexpr Duration kMaxTakeoverBackoff = std::chrono::milliseconds(400);

  /// Keeps references; they must outlive it.
  LocalPartition(CoreContext& context, const StoreSet& stores, DurableWriter& writer,
                 const PartitionOptions& options, const PartitionId& partition);
  LocalPartition(const LocalPartition&) = delete;
  LocalPartition& operator=(const LocalPartition&) = delete;

  /// Reads the durable state. Called once, when the core starts.
  void load();

  void setListener(PartitionListener& listener) { listener_ = &listener; }

  const PartitionId& id() const { return replica_.partition(); }
  const PartitionTable& table() const { return replica_.table(); }

  /// True while this node believes that it owns the partition and has finished its takeover.
  bool isServing() const;

  /// Epoch of this node as the owner. Only while `isServing`.
  std::uint64_t epoch() const { return owner_->epoch(); }

  /// The other node that is believed to be the owner; empty if unknown.
  NodeId ownerHint() const;

  /// False if a replica, this one included, is low on disk space. Only while `isServing`.
  bool canAcceptNewData() const;

  /// True if the replica is complete at the newest known epoch.
  bool isCaughtUp() const;

  /// True if this node, with its present disk, is a replica of the installed epoch.
  bool isCountedAsReplica() const;

  /// Replicates one write. Only while `isServing`.
  void write(std::vector<TableEntry> entries, std::function<void(Status)> done);

  /// Completes with a majority of replies to heartbeat @p round or a later one. Only while
  /// `isServing`.
  void confirmOwnership(std::uint64_t round, std::function<void(Status)> done);

  /// True if a call of `confirmOwnership` is pending.
  bool isConfirming() const { return owner_ && owner_->isConfirming(); }

  /// This owner's item in the next heartbeat; nullopt if it is not the owner.
  std::optional<HeartbeatItem> heartbeat();

  /// Nodes that are due a promise request of this node's takeover, and the epoch to be requested.
  std::vector<NodeId> promiseTargets();
  std::uint64_t takeoverEpoch() const { return takeover_->epoch(); }

  // Requests to the replica.
  /// Calls @p done with the answer once the promise is synced, or at once if it is rejected.
  void promise(const NodeId& from, std::uint64_t epoch, std::function<void(PromiseAnswer)> done);
  void receive(const NodeId& from, const FetchRequest& request);
  void receive(const NodeId& from, const InstallRequest& request);
  void receive(const NodeId& from, const ReplicateRequest& request);
  ReplicaPosition receive(const NodeId& from, const HeartbeatItem& heartbeat);

  // Replies to this node's takeover or ownership.
  void receive(const NodeId& from, const std::string& storeId, const PromiseAnswer& answer);
  void receive(const NodeId& from, const FetchReply& reply);
  void receive(const NodeId& from, const InstallReply& reply);
  void receive(const NodeId& from, const ReplicateReply& reply);
  void receive(const NodeId& from, const HeartbeatReply& reply, const ReplicaPosition& position);

  /// Retransmits, updates the role and decides whether to take over. With @p mayOwn false the node
  /// abandons its takeover or its ownership.
  void tick(bool mayOwn);

 private:
  /// Runs `updateRole` after the current event.
  void scheduleRoleUpdate();
  void updateRole();
  void updateTakeover();
  void updateOwner();
  void considerTakeover(bool mayOwn);
  void beginTakeover();
  void abandonTakeover();
  void beginOwnership();
  void loseOwnership();
  /// True if the replicas in the members register differ from those of this owner.
  bool replicasChanged() const;
  void ownerMessageAccepted(const NodeId& from, std::uint64_t epoch);
  void monitorTakeover();

  CoreContext& context_;
  const StoreSet& stores_;
  const PartitionOptions& options_;
  PartitionListener* listener_ = nullptr;
  PartitionReplica replica_;
  std::unique_ptr<PartitionTakeover> takeover_;
  std::unique_ptr<PartitionOwner> owner_;
  bool announced_ = false;  ///< The listener was notified of the ownership.
  KnownOwner knownOwner_;
  TakeoverPolicy policy_;
  SlowTakeoverMonitor monitor_;
  Time retryTakeoverAt_;
  std::uint64_t highestEpoch_ = 0;  ///< Highest epoch that is known from any node.
  bool roleUpdateScheduled_ = false;
};

}  // namespace shedshed

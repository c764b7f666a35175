/// @file
/// The partition service of a store node.
#pragma once

#include "partition/partition_owner.h"

namespace shedshed {

/// Holds this store's replicas of all partitions and owns those for which it comes first.
///
/// A store owns a partition when it is the first live one in the agreed order, has taken over at a
/// new epoch (`PartitionTakeover`, then `PartitionOwner`), and has not been fenced since. Two nodes
/// may believe that they own a partition; only the one with the higher epoch can complete a write
/// or a confirmation. Core thread only.
class PartitionCore : public Core, public PartitionStore {
 public:
  /// Keeps references; they must outlive it. @p context belongs to `ServiceId::Partition`.
  PartitionCore(CoreContext& context, const Directory& directory,
                ConfigurationSource& configuration, PartitionOptions options);

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;
  void persisted(PersistId id, const Status& status) override;

  void setListener(TableKind kind, PartitionListener& listener) override;
  bool owns(const PartitionId& partition) const override;
  std::uint64_t epoch(const PartitionId& partition) const override;
  NodeId ownerHint(const PartitionId& partition) const override;
  bool takesNewData(const PartitionId& partition) const override;
  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void(Status)> done) override;
  void confirmOwnership(const PartitionId& partition, std::function<void(Status)> done) override;
  std::optional<std::string> get(const PartitionId& partition, std::string_view key) const override;
  void forEach(const PartitionId& partition, std::string_view prefix,
               const std::function<bool(std::string_view key, const std::string& value)>& visit)
      const override;

  /// How many partitions this store owns.
  std::size_t ownedPartitions() const;

  /// True once a store that drains may end: it owns nothing, or no other store could own it.
  bool handedOver() const;

  /// How many of the partitions that it is to hold this store holds in full, also before it is a
  /// member.
  RepairProgress repairProgress() const;

 private:
  /// One partition on this node.
  struct Place {
    Place(CoreContext& context, DurableWriter& writer, const PartitionOptions& options,
          const PartitionId& partition)
        : replica(context, writer, options, partition) {}
    PartitionReplica replica;
    std::unique_ptr<PartitionTakeover> takeover;
    std::unique_ptr<PartitionOwner> owner;
    bool announced = false;
    NodeId heardOwner;  ///< The last other node that acted as the owner.
    std::uint64_t heardEpoch = 0;
    std::uint64_t heardSequence = 0;  ///< The owner's sequence one heartbeat ago.
    std::uint64_t nextSequence = 0;   ///< The owner's sequence in the last heartbeat.
    Time heardAt;
    std::optional<Time> firstSince;  ///< Since when this node is first in the order.
    Time tryAfter;
    std::optional<Time>
        unservedSince;               ///< Since when this node tries to own it and does not serve.
    bool reported = false;           ///< That it lasts was logged.
    std::uint64_t highestEpoch = 0;  ///< Highest epoch that anyone named.
    bool reviewScheduled = false;
  };

  void handle(const NodeId& from, const PromiseRequest& request);
  void handle(const NodeId& from, const PromiseReply& reply);
  void handle(const NodeId& from, const FetchRequest& request);
  void handle(const NodeId& from, const FetchReply& reply);
  void handle(const NodeId& from, const InstallRequest& request);
  void handle(const NodeId& from, const InstallReply& reply);
  void handle(const NodeId& from, const ReplicateRequest& request);
  void handle(const NodeId& from, const ReplicateReply& reply);
  void handle(const NodeId& from, const HeartbeatRequest& request);
  void handle(const NodeId& from, const HeartbeatReply& reply);

  /// True if @p candidate comes after an owner that works: it is cut off from the owner, and
  /// taking over would only make the two alternate. Matters for progress, not for safety.
  bool displacesWorkingOwner(const Place& place, const NodeId& candidate) const;
  /// True if this store may own partitions: its disk is a member's, by a member list that is
  /// proved to be current or was so a short time ago.
  bool mayOwn() const;
  Place* find(const PartitionId& partition);
  const Place* find(const PartitionId& partition) const;
  const Place* served(const PartitionId& partition) const;
  void heard(Place& place, const NodeId& from, std::uint64_t epoch);
  void scheduleReview(const PartitionId& partition);
  void review(Place& place);
  void reviewTakeover(Place& place);
  void reviewOwner(Place& place);
  void tick();
  void tickPlace(Place& place);
  void considerTakeover(Place& place);
  bool maySeize(Place& place, std::size_t rank) const;
  void beginTakeover(Place& place);
  void dropTakeover(Place& place);
  void beginOwning(Place& place);
  void loseOwnership(Place& place);
  void sendPromiseRequests();
  void sendHeartbeats(bool onlyConfirmations);
  /// Logs a partition that this node has tried to own for `kSlowTakeover`, and its end.
  void reportSlowTakeover(Place& place);
  bool hasSuccessor(const PartitionId& partition) const;
  void publishCounters();
  PartitionListener* listener(const PartitionId& partition) const;

  CoreContext& context_;
  ConfigurationSource& configuration_;
  PartitionOptions options_;
  StoreSet stores_;
  DurableWriter writer_;
  std::map<PartitionId, Place> places_;
  std::map<TableKind, PartitionListener*> listeners_;
  std::uint64_t round_ = 0;
  Time heartbeatAt_;
  Time startedAt_;
  bool confirmationScheduled_ = false;
  std::size_t loggedOwned_ = 0;
  bool loggedScarce_ = false;
};

}  // namespace shedshed

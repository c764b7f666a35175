/// @file
/// The partition service of a store node.
#pragma once

#include "partition/local_partition.h"
#include "partition/partition_metrics.h"
#include "partition/repair_progress.h"

#include <map>

namespace shedshed {

/// Holds this store's replicas of all partitions and owns those for which it is first in order.
///
/// A store owns a partition when it is the first live one in the owner order, has taken over at a
/// new epoch (`PartitionTakeover`, then `PartitionOwner`), and has not been fenced since. Two nodes
/// may believe that they own a partition; only the one with the higher epoch can complete a write
/// or a confirmation. The state of each partition is in a `LocalPartition`; this class dispatches
/// messages to it and batches what the partitions send at the same time. Core thread only.
class PartitionCore : public Core, public PartitionStore {
 public:
  /// Time after the end of its freshness lease at which a store gives up all ownership: the members
  /// and settings that it uses may have been replaced.
  static constexpr Duration kMaxConfigurationStaleness = std::chrono::seconds(6);

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
  bool canAcceptNewData(const PartitionId& partition) const override;
  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void(Status)> done) override;
  void confirmOwnership(const PartitionId& partition, std::function<void(Status)> done) override;
  std::optional<std::string> get(const PartitionId& partition, std::string_view key) const override;
  void forEach(const PartitionId& partition, std::string_view prefix,
               const std::function<bool(std::string_view key, const std::string& value)>& visit)
      const override;

  /// Number of partitions that this store owns.
  std::size_t ownedPartitions() const;

  /// True once a draining store may stop: it owns no partition that another store could own.
  bool ownershipTransferred() const;

  /// Number of partitions that this store is to replicate and number that it has copied, also
  /// before it is a member.
  RepairProgress repairProgress() const;

 private:
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

  /// True if this store may own partitions: with its disk it is a member, and the freshness lease
  /// of its configuration is valid or ended less than `kMaxConfigurationStaleness` ago.
  bool mayOwn() const;
  /// nullptr if there is no such partition: ids in messages are not validated before.
  LocalPartition* find(const PartitionId& partition);
  const LocalPartition* find(const PartitionId& partition) const;
  /// As `find`; nullptr also if this node does not serve the partition.
  LocalPartition* findServed(const PartitionId& partition);
  const LocalPartition* findServed(const PartitionId& partition) const;
  /// True if another replica of @p partition is live and not draining.
  bool hasSuccessor(const PartitionId& partition) const;
  void tick();
  void sendPromiseRequests();
  /// Sends one message per peer with the owned partitions, or only with those that wait for a
  /// confirmation.
  void sendHeartbeats(bool onlyConfirmations);
  void scheduleConfirmations();

  CoreContext& context_;
  ConfigurationSource& configuration_;
  PartitionOptions options_;
  StoreSet stores_;
  DurableWriter writer_;
  std::map<PartitionId, LocalPartition> partitions_;
  PartitionMetrics metrics_;
  std::uint64_t heartbeatRound_ = 0;  ///< Number of the last heartbeat sent.
  Time lastHeartbeatAt_;
  bool confirmationScheduled_ = false;
};

}  // namespace shedshed

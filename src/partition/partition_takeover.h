/// @file
/// First phase of a takeover: promises, and the merge of the replicas' tables.
#pragma once

#include "partition/promise_quorum.h"
#include "partition/table_merge.h"

#include <map>
#include <memory>
#include <optional>

namespace shedshed {

/// Result of the first phase of a takeover.
struct TakeoverOutcome {
  std::uint64_t epoch = 0;
  RecoveryKind recovery = RecoveryKind::Complete;
  StoreMembers replicas;  ///< The replicas of the new epoch.
  StoreMembers previous;  ///< The replicas of the newest epoch found; empty if none.
  std::map<NodeId, std::uint64_t> checksums;  ///< Of the replicas' tables when they promised.
};

/// Requests promises of one epoch and builds the merged table in this node's replica.
///
/// Why the merge holds every acknowledged row: an acknowledged write is on a majority that has
/// installed its epoch. The takeover has promises of a majority of the present members and of a
/// majority of the replicas of the newest epoch found (`PromiseQuorum`), so one of those that
/// promised has it, and answers with the highest installed epoch, whose tables are merged
/// (`TableMerge`). A write of a lower epoch that is still in flight can no longer reach a majority:
/// the replicas that promised reject it. Core thread only.
class PartitionTakeover {
 public:
  /// Time for which a takeover of `Slots` waits for further replicas when too few are intact.
  static constexpr Duration kIntactReplicasTimeout = std::chrono::seconds(1);

  /// The same for `Batches`. It waits for dead members too, which may still hold on disk what the
  /// others lost.
  static constexpr Duration kDurableIntactReplicasTimeout = std::chrono::seconds(60);

  enum class State { Promising, Merging, Done, Rejected };

  /// Keeps references; they must outlive it. @p changed is called after an asynchronous step.
  PartitionTakeover(CoreContext& context, const StoreSet& stores, PartitionReplica& replica,
                    const PartitionOptions& options, std::uint64_t epoch,
                    std::function<void()> changed);
  PartitionTakeover(const PartitionTakeover&) = delete;
  PartitionTakeover& operator=(const PartitionTakeover&) = delete;

  /// Requests the promise of this node's own replica. The other replicas are asked only after that
  /// is synced, so that an epoch is never used by two incarnations of one process.
  void begin();

  State state() const { return state_; }
  std::uint64_t epoch() const { return epoch_; }

  /// Progress of the takeover, for log events.
  std::string progress() const;

  /// The highest epoch that a rejection named; nullopt if there was none.
  std::optional<std::uint64_t> rejectedBy() const { return rejectedBy_; }

  /// Valid when `Done`.
  TakeoverOutcome outcome() const;

  /// The nodes that have not promised yet and are due a request now.
  std::vector<NodeId> promiseTargets();

  void receive(const NodeId& from, const std::string& storeId, const PromiseAnswer& answer);
  void receive(const NodeId& from, const FetchReply& reply);
  void tick();

 private:
  bool selfPromised() const;
  void evaluatePromises();
  bool intactReplicasTimedOut() const;
  void beginMerge(RecoveryKind recovery);
  void finishIfMerged();
  /// Adds `kRecoveringRow`, which marks the table as incomplete for a successor.
  void markLostMemory();

  CoreContext& context_;
  const StoreSet& stores_;
  PartitionReplica& replica_;
  const PartitionOptions& options_;
  const std::function<void()> changed_;
  const std::uint64_t epoch_;
  State state_ = State::Promising;
  PromiseQuorum promises_;
  RecoveryKind recovery_ = RecoveryKind::Complete;
  std::optional<TableMerge> merge_;  ///< Present from `Merging` on.
  std::optional<std::uint64_t> rejectedBy_;
  std::optional<Time> promisedAt_;   ///< When both majorities had promised.
  std::optional<Time> requestedAt_;  ///< When promises were last requested.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedshed

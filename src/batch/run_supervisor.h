/// @file
/// Assignment of batches to runners.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_owner_options.h"
#include "batch/batch_settings.h"
#include "batch/item_writer.h"
#include "membership/directory.h"

namespace shedshed {

/// Assigns each unfinished batch to one data node, and reassigns it when the runner is lost.
///
/// Why two runners cannot both start an item:
/// - The run epoch is a fencing token. It is on a majority before the run is sent to the runner,
///   and starts of other epochs are rejected as soon as the new epoch has been chosen.
/// - The write that makes the new epoch durable also resolves the items started by the lost run:
///   idempotent items become pending again, the others `Unknown`. If this node crashes before that
///   write, the old run remains current; after it, the successor finds the new run.
/// - A restarted runner process has a different incarnation, which ends its run.
/// - A runner starts no item without a recent heartbeat reply, and replies are sent only after this
///   node has confirmed its ownership. A fenced owner therefore cannot extend a runner's lease.
/// Core thread only.
class RunSupervisor {
 public:
  /// Holds references to the arguments, which must outlive this object.
  RunSupervisor(CoreContext& context, PartitionStore& store, const BatchSettings& settings,
                const Directory& directory, const BatchOwnerOptions& options, BatchTable& table,
                ItemWriter& items)
      : context_(context), store_(store), settings_(settings), directory_(directory),
        options_(options), table_(table), items_(items) {}

  void onHeartbeat(const NodeId& from, const RunHeartbeat& heartbeat);
  void onFetch(const NodeId& from, const FetchItems& fetch);
  void onReturnRun(const NodeId& from, const ReturnRun& returned);

  /// Periodic check of a committed batch: assigns its run, resends the assignment or reassigns it.
  void supervise(BatchState& batch);

  /// True if @p run is the current run. Reassigns the run if it is claimed by another incarnation
  /// of the same runner.
  bool isCurrent(BatchState& batch, const NodeId& from, const RunId& run);

 private:
  RunHeartbeatResult answerRun(const NodeId& from, const RunId& run);
  /// Returns the page requested by @p fetch; empty if its bodies cannot be decoded.
  std::optional<ItemsPage> pendingItems(const BatchState& batch, const FetchItems& fetch);
  /// Reverts the starts of this run that are no longer in flight at its runner.
  void revertDroppedAttempts(const RunReport& report);
  /// Assigns the batch to a new run, on a node other than @p avoidRunner if there is one.
  void reassignRun(BatchState& batch, const std::string& avoidRunner);
  void assignRun(BatchState& batch, const NodeId& runner);
  void announceRun(const BatchState& batch);
  NodeId chooseRunner(const std::string& batchId, const std::string& avoid) const;
  /// Returns new rows for the items that were started, but not finished, by runs before @p epoch.
  ItemRecords resolutionsBefore(const BatchState& batch, std::uint64_t epoch) const;
  /// Resolves starts of earlier runs that became durable during a change of owner or run.
  void resolveStaleItems(BatchState& batch);

  CoreContext& context_;
  PartitionStore& store_;
  const BatchSettings& settings_;
  const Directory& directory_;
  const BatchOwnerOptions& options_;
  BatchTable& table_;
  ItemWriter& items_;
};

}  // namespace shedshed

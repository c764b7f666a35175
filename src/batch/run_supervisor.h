/// @file
/// Runs of batches: which node runs a batch, under which epoch.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_owner_options.h"
#include "batch/batch_settings.h"
#include "batch/item_writer.h"
#include "membership/directory.h"

namespace shedshed {

/// Assigns each unfinished batch to one data node, and reassigns it when the runner is lost.
///
/// Why two runners never both start an item:
/// - The run epoch is a fencing token. It is on a majority before the run is announced, and starts
///   of other epochs are rejected from the moment that the new epoch is chosen.
/// - What the lost run had started is resolved in the write that makes the new epoch durable:
///   idempotent items become pending again, the others `Unknown`. A crash of this node before that
///   write leaves the old run in force; after it, the successor finds the new one.
/// - A runner process that was restarted has another incarnation, and ends the run.
/// - A runner starts nothing without a recent heartbeat reply, and a reply is sent only after this
///   node has proved its ownership: a fenced owner cannot extend the lease of a runner.
/// Core thread only.
class RunSupervisor {
 public:
  /// Keeps references; they must outlive it.
  RunSupervisor(CoreContext& context, PartitionStore& store, const BatchSettings& settings,
                const Directory& directory, const BatchOwnerOptions& options, BatchTable& table,
                ItemWriter& items)
      : context_(context), store_(store), settings_(settings), directory_(directory),
        options_(options), table_(table), items_(items) {}

  void onHeartbeat(const NodeId& from, const RunHeartbeat& heartbeat);
  void onFetch(const NodeId& from, const FetchItems& fetch);
  void onReturnRun(const NodeId& from, const ReturnRun& returned);

  /// Periodic check of a committed batch: assigns, announces or reassigns its run.
  void supervise(BatchState& batch);

  /// True if @p run is the one in force. Ends the run if another incarnation of the same runner
  /// speaks for it.
  bool isCurrent(BatchState& batch, const NodeId& from, const RunId& run);

 private:
  RunHeartbeatResult answerRun(const NodeId& from, const RunId& run);
  /// Returns the page that @p fetch asks for; none if its bodies cannot be read.
  std::optional<ItemsPage> pendingItems(const BatchState& batch, const FetchItems& fetch);
  /// Reverts the starts of this run that its runner no longer has in flight.
  void revertDroppedAttempts(const RunReport& report);
  /// Assigns the batch to another node than @p avoidRunner, if there is one.
  void reassignRun(BatchState& batch, const std::string& avoidRunner);
  void assignRun(BatchState& batch, const NodeId& runner);
  void announceRun(const BatchState& batch);
  NodeId chooseRunner(const std::string& batchId, const std::string& avoid) const;
  /// Returns the rows of the items that runs before @p epoch had started and did not finish.
  ItemRecords resolutionsBefore(const BatchState& batch, std::uint64_t epoch) const;
  /// Resolves starts of an earlier run that became durable around a change of owner or run.
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

/// @file
/// The states of one item: started before it runs, finished once.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_safeguards.h"
#include "batch/item_writer.h"
#include "batch/run_supervisor.h"

namespace shedshed {

/// Handles the messages of runners on single items.
///
/// - `Started` is on a majority before the runner is acknowledged and calls an engine. A crash of
/// the
///   owner before the acknowledgement leaves at worst an item that is `Started` and did not run:
///   the runner's next heartbeat, or the next run, resolves it.
/// - The first durable result of an item is kept. Later ones are acknowledged and change nothing.
///   A result of the very attempt that is `Started` is taken also from a run that was fenced
///   meanwhile: nothing else can be true of the item.
/// - What changes nothing is answered after a proof of the ownership, so that a fenced owner
///   does not make a runner drop a result that the successor lacks.
/// Core thread only.
class ItemLifecycle {
 public:
  /// Keeps references; they must outlive it.
  ItemLifecycle(CoreContext& context, PartitionStore& store, const BatchSafeguards& safeguards,
                BatchTable& table, ItemWriter& items, RunSupervisor& runs)
      : context_(context), store_(store), safeguards_(safeguards), table_(table), items_(items),
        runs_(runs) {}

  void onStart(const NodeId& from, const StartItem& start);
  void onRevertStart(const NodeId& from, const RevertStart& revert);
  void onFinish(const NodeId& from, FinishItem finish);

 private:
  void writeStart(const NodeId& from, const StartItem& start, BatchState& batch);
  /// The start is durable: accepts it, or reverts it if the run has ended meanwhile.
  void startWritten(const NodeId& from, const StartItem& start);
  /// Acknowledges a result of a batch that is not known, if it was erased after its retention.
  void acknowledgeErased(const NodeId& from, const FinishItem& finish);
  /// True if the batch is cancelled: nothing of it starts.
  bool isStopped(const BatchState& batch) const;
  /// True if the item is pending and the start is no late duplicate of a reverted one.
  bool mayStart(const BatchState& batch, const StartItem& start) const;
  /// Calls @p action once a majority has proved that this node is the owner: what it would say
  /// from memory alone could be contradicted by a successor.
  void afterOwnershipConfirmed(const std::string& batchId, std::function<void()> action);
  void sendStartReply(const NodeId& to, const StartItem& start, StartOutcome outcome);
  void sendFinishReply(const NodeId& to, const RunId& run, std::uint64_t position,
                       std::uint64_t attempt);

  CoreContext& context_;
  PartitionStore& store_;
  const BatchSafeguards& safeguards_;
  BatchTable& table_;
  ItemWriter& items_;
  RunSupervisor& runs_;
};

}  // namespace shedshed

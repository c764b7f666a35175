/// @file
/// State transitions of items at the batch owner.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_safeguards.h"
#include "batch/item_writer.h"
#include "batch/run_supervisor.h"

namespace shedshed {

/// Handles messages from runners about single items.
///
/// - `Started` is on a majority before the runner is acknowledged and calls an engine. If the owner
///   crashes before the acknowledgement, the item may be `Started` without having run. The runner's
///   next heartbeat or the next run resolves it.
/// - The first durable result of an item is kept. Later results are acknowledged and ignored. The
///   result of the attempt that is `Started` is accepted even if its run has been fenced in the
///   meantime, because no later attempt exists while the item is in that state.
/// - Requests that change nothing are acknowledged only after ownership has been confirmed.
///   Otherwise a fenced owner could make a runner drop a result that the successor does not have.
/// Core thread only.
class ItemLifecycle {
 public:
  /// Holds references to the arguments, which must outlive this object.
  ItemLifecycle(CoreContext& context, PartitionStore& store, const BatchSafeguards& safeguards,
                BatchTable& table, ItemWriter& items, RunSupervisor& runs)
      : context_(context), store_(store), safeguards_(safeguards), table_(table), items_(items),
        runs_(runs) {}

  void onStart(const NodeId& from, const StartItem& start);
  void onRevertStart(const NodeId& from, const RevertStart& revert);
  void onFinish(const NodeId& from, FinishItem finish);

 private:
  void writeStart(const NodeId& from, const StartItem& start, BatchState& batch);
  /// Called when the start is durable. Accepts it, or reverts it if the run has ended or the batch
  /// has been cancelled in the meantime.
  void startWritten(const NodeId& from, const StartItem& start);
  /// Acknowledges a result of an unknown batch, which was erased after its retention, if this node
  /// is the owner.
  void acknowledgeErased(const NodeId& from, const FinishItem& finish);
  /// True if the batch is cancelled, so that none of its items may start.
  bool isStopped(const BatchState& batch) const;
  /// True if the item is pending and the start is not a delayed duplicate of a reverted one.
  bool mayStart(const BatchState& batch, const StartItem& start) const;
  /// Calls @p action once a majority has confirmed that this node is the owner, because a reply
  /// from memory alone could contradict a successor.
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

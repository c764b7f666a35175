/// @file
/// Heartbeats of the runner to the owners of its batches.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/item_executor.h"
#include "batch/run_table.h"

#include <map>

namespace shedshed {

/// Reports the runs of this node to their owners, and applies the verdicts.
///
/// A verdict of an owner that has proved its ownership extends the lease under which items may
/// start. The lease counts from the moment that the heartbeat was sent, on this node's own clock:
/// it ends before the owner may assign the run to another node. Core thread only.
class RunHeartbeats {
 public:
  /// Keeps references; they must outlive it.
  RunHeartbeats(CoreContext& context, OwnerLocator& locator, RunTable& runs, ItemExecutor& executor,
                const BatchRunnerOptions& options)
      : context_(context), locator_(locator), runs_(runs), executor_(executor), options_(options) {}

  /// Sends one heartbeat to each owner, for all of its runs that have not ended.
  void send();
  /// Sends if the interval is over.
  void sendIfDue();

  void onReply(const NodeId& from, const RunHeartbeatReply& reply);

 private:
  void applyResult(const NodeId& from, Time sent, const RunHeartbeatResult& result);
  RunReport reportOf(const RunKey& key, const BatchRun& run) const;

  CoreContext& context_;
  OwnerLocator& locator_;
  RunTable& runs_;
  ItemExecutor& executor_;
  const BatchRunnerOptions& options_;
  std::uint64_t nextNumber_ = 1;
  std::map<std::uint64_t, Time> sentAt_;  ///< By number of the heartbeat.
  Time lastSent_{};
};

}  // namespace shedshed

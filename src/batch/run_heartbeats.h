/// @file
/// Heartbeats from the runner to the owners of its batches.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/item_executor.h"
#include "batch/run_table.h"

#include <map>

namespace shedshed {

/// Reports the runs of this node to their owners, and applies the replies.
///
/// An `Active` reply, which an owner sends only after it has confirmed its ownership, extends the
/// lease under which items may start. The lease is measured on this node's clock from the time at
/// which the heartbeat was sent, so that it ends before the owner may assign the run to another
/// node. Core thread only.
class RunHeartbeats {
 public:
  /// Holds references to the arguments, which must outlive this object.
  RunHeartbeats(CoreContext& context, OwnerLocator& locator, RunTable& runs, ItemExecutor& executor,
                const BatchRunnerOptions& options)
      : context_(context), locator_(locator), runs_(runs), executor_(executor), options_(options) {}

  /// Sends one heartbeat to each owner, with all of its runs that have not ended.
  void send();
  /// Sends heartbeats if the interval has elapsed.
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
  std::map<std::uint64_t, Time> sentAt_;  ///< By heartbeat number.
  Time lastSent_{};
};

}  // namespace shedshed

/// @file
/// Runner of batch items, on the data nodes.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/batch_settings.h"
#include "batch/item_executor.h"
#include "batch/item_fetcher.h"
#include "batch/item_slots.h"
#include "batch/run_heartbeats.h"
#include "batch/run_table.h"
#include "kernel/core.h"

namespace shedshed {

/// Runs batches that their owners assign to this node.
///
/// Dispatches messages and timers to its components: `RunTable` (the runs), `RunHeartbeats` (the
/// lease under which items may start), `ItemFetcher` (pages of pending items), `ItemSlots` (slots)
/// and `ItemExecutor` (start, engine call, report).
///
/// An assignment may be outdated and therefore starts no item by itself: the lease begins with the
/// first heartbeat reply, from an owner that has confirmed its ownership. A run with a newer epoch
/// ends all earlier runs of the batch on this node. Core thread only.
class BatchRunnerCore : public Core {
 public:
  /// Holds references to the arguments, which must outlive this object.
  BatchRunnerCore(CoreContext& context, OwnerLocator& locator, SlotClient& slots,
                  EngineRunner& engines, ConfigurationSource& configuration,
                  BatchRunnerOptions options = {});
  // The components hold references to each other.
  BatchRunnerCore(const BatchRunnerCore&) = delete;
  BatchRunnerCore& operator=(const BatchRunnerCore&) = delete;

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// Starts a graceful shutdown: starts no more items, finishes those in flight, and returns each
  /// run to its owner once it is idle.
  void drain();
  /// True if no item is in flight and no result awaits its acknowledgement.
  bool idle() const;

  /// While draining: true once every run has ended and its owner knows it.
  bool allRunsReturned() const;

 private:
  static constexpr TimerId kTickTimer = 1;

  void onAssign(const NodeId& from, const AssignRun& assign);
  void onItemsPage(const ItemsPage& page);
  /// Returns an idle run to its owner while draining. Repeated on each tick until a heartbeat reply
  /// ends the run.
  void returnIfDrained(const RunKey& key, const BatchRun& run);
  void tick();
  /// Logs the stalls of all runs that begin or end, and counts the stalled items.
  void reportStalls();
  /// Requests slots again for rejected items whose delay is over.
  void retryRejected();

  CoreContext& context_;
  OwnerLocator& locator_;
  BatchSettings settings_;
  BatchRunnerOptions options_;
  RunTable runs_;
  ItemFetcher fetcher_;
  ItemSlots slots_;
  ItemExecutor executor_;
  RunHeartbeats heartbeats_;
};

}  // namespace shedshed

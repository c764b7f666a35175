/// @file
/// Runs the items of batches, on the data nodes.
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
/// Dispatches messages and timers to its parts: `RunTable` (the runs), `RunHeartbeats` (the lease
/// under which items may start), `ItemFetcher` (pages of pending items), `ItemSlots` (slots) and
/// `ItemExecutor` (start, engine, report).
///
/// An assignment may be old. It starts nothing by itself: the lease begins with the first reply to
/// a heartbeat, from an owner that has proved its ownership. A run with a newer epoch ends all
/// earlier runs of the batch here. Core thread only.
class BatchRunnerCore : public Core {
 public:
  /// Keeps references; they must outlive it.
  BatchRunnerCore(CoreContext& context, OwnerLocator& locator, SlotClient& slots,
                  EngineRunner& engines, ConfigurationSource& configuration,
                  BatchRunnerOptions options = {});
  // The parts refer to each other.
  BatchRunnerCore(const BatchRunnerCore&) = delete;
  BatchRunnerCore& operator=(const BatchRunnerCore&) = delete;

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// Graceful shutdown: starts nothing any more, finishes what runs, and returns each run to its
  /// owner once it is idle.
  void drain();
  /// True when no item is in flight and no result waits for its acknowledgement.
  bool idle() const;

  /// True while draining once the owners know of every run that it is over here.
  bool allRunsReturned() const;

 private:
  static constexpr TimerId kTickTimer = 1;

  void onAssign(const NodeId& from, const AssignRun& assign);
  void onItemsPage(const ItemsPage& page);
  /// Repeated with each tick until the reply to a heartbeat ends the run.
  void returnIfDrained(const RunKey& key, const BatchRun& run);
  void tick();
  /// Items whose slots were rejected request again.
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

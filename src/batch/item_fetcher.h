/// @file
/// Paged fetching of pending items from the owner of a batch.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/run_table.h"
#include "engines/engine_runner.h"

namespace shedshed {

/// Fills the queue of each run. A pass covers all positions; items that become pending again are
/// found by the next pass. Delayed and duplicate pages are recognized by their position and
/// ignored. Core thread only.
class ItemFetcher {
 public:
  /// Holds references to the arguments, which must outlive this object.
  ItemFetcher(CoreContext& context, RunTable& runs, EngineRunner& engines,
              const BatchRunnerOptions& options)
      : context_(context), runs_(runs), engines_(engines), options_(options) {}

  /// Requests the next page, unless one is in flight, the delay between two passes is not over or
  /// the queue is full.
  void fetch(const RunKey& key, BatchRun& run);

  /// Queues the items of a page. Returns false if this page was not requested.
  bool onItemsPage(const ItemsPage& page);

 private:
  CoreContext& context_;
  RunTable& runs_;
  EngineRunner& engines_;
  const BatchRunnerOptions& options_;
};

}  // namespace shedshed

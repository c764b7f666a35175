/// @file
/// Fetches the pending items of runs from the owner, page by page.
#pragma once

#include "batch/batch_runner_options.h"
#include "batch/run_table.h"
#include "engines/engine_runner.h"

namespace shedshed {

/// Keeps the queue of each run filled. A pass goes over all positions; items that became pending
/// again are found by the next pass. A page that is late or repeated is ignored by its position.
/// Core thread only.
class ItemFetcher {
 public:
  /// Keeps references; they must outlive it.
  ItemFetcher(CoreContext& context, RunTable& runs, const EngineRunner& engines,
              const BatchRunnerOptions& options)
      : context_(context), runs_(runs), engines_(engines), options_(options) {}

  /// Requests the next page unless one is in flight, the pass is over or the queue is full.
  void fetch(const RunKey& key, BatchRun& run);

  /// Queues the items of a page. False if the page was not the one requested.
  bool onItemsPage(const ItemsPage& page);

 private:
  CoreContext& context_;
  RunTable& runs_;
  const EngineRunner& engines_;
  const BatchRunnerOptions& options_;
};

}  // namespace shedshed

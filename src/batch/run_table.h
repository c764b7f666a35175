/// @file
/// The runs assigned to this node.
#pragma once

#include "batch/batch_run.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"

#include <map>
#include <vector>

namespace shedshed {

/// Looks up runs, and decides whether a run may start items. All parts of the runner share one
/// table. Core thread only. Pointers are valid until the run is removed.
class RunTable {
 public:
  /// Holds references to the arguments, which must outlive this object.
  RunTable(CoreContext& context, const OwnerLocator& locator)
      : context_(context), locator_(locator) {}

  /// Sets the incarnation of this process. After a restart it differs, so that the owner ends the
  /// runs of the previous process.
  void setIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
  /// Stops all runs from starting items.
  void drain() { draining_ = true; }
  bool draining() const { return draining_; }

  BatchRun& add(const RunKey& key) { return runs_[key]; }
  /// Returns the run, or null if it does not exist.
  BatchRun* find(const RunKey& key);
  /// Removes the run if it has ended and all of its results have been acknowledged.
  void removeIfDone(const RunKey& key);
  /// True if the table has this run or a newer one of the same batch.
  bool hasRunOrNewer(const RunKey& key) const;

  /// True while the run's lease is valid and it is not cancelled, ended or draining.
  bool mayStart(const BatchRun& run) const;
  /// The id of the run in messages of this process.
  RunId idOf(const RunKey& key) const { return RunId{key.first, key.second, incarnation_}; }
  /// The presumed owner of the batch; empty if none is known.
  NodeId ownerOf(const BatchRun& run) const;

  std::map<RunKey, BatchRun>& runs() { return runs_; }
  const std::map<RunKey, BatchRun>& runs() const { return runs_; }
  /// Returns the keys of all runs, for loops in which runs may be removed.
  std::vector<RunKey> keys() const;

 private:
  CoreContext& context_;
  const OwnerLocator& locator_;
  std::uint64_t incarnation_ = 0;
  bool draining_ = false;
  std::map<RunKey, BatchRun> runs_;
};

}  // namespace shedshed

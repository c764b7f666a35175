/// @file
/// The runs that are assigned to this node.
#pragma once

#include "batch/batch_run.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"

#include <map>
#include <vector>

namespace shedshed {

/// Finds runs, and knows whether a run may start items. All parts of the runner share one table.
/// Core thread only; pointers are valid until the run is forgotten.
class RunTable {
 public:
  /// Keeps references; they must outlive it.
  RunTable(CoreContext& context, const OwnerLocator& locator)
      : context_(context), locator_(locator) {}

  /// Names this process from now on: a restart gets another incarnation, which the owner fences.
  void setIncarnation(std::uint64_t incarnation) { incarnation_ = incarnation; }
  /// From now on no run may start items.
  void drain() { draining_ = true; }
  bool draining() const { return draining_; }

  BatchRun& add(const RunKey& key) { return runs_[key]; }
  /// Returns the run, or null if it is not known.
  BatchRun* find(const RunKey& key);
  /// Forgets a run that has ended, once all that ran is acknowledged.
  void removeIfDone(const RunKey& key);
  /// True if this run or a newer one of the same batch is known.
  bool hasRunOrNewer(const RunKey& key) const;

  /// True while the lease holds and nothing forbids starts: not draining, cancelled or ended.
  bool mayStart(const BatchRun& run) const;
  /// The name of the run in messages of this process.
  RunId idOf(const RunKey& key) const { return RunId{key.first, key.second, incarnation_}; }
  /// The node that is believed to own the batch; empty if none is known.
  NodeId ownerOf(const BatchRun& run) const;

  std::map<RunKey, BatchRun>& runs() { return runs_; }
  const std::map<RunKey, BatchRun>& runs() const { return runs_; }
  /// Keys of all runs, for loops in which runs may be forgotten.
  std::vector<RunKey> keys() const;

 private:
  CoreContext& context_;
  const OwnerLocator& locator_;
  std::uint64_t incarnation_ = 0;
  bool draining_ = false;
  std::map<RunKey, BatchRun> runs_;
};

}  // namespace shedshed

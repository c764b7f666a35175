#include "batch/run_table.h"

namespace shedshed {

BatchRun* RunTable::find(const RunKey& key) {
  const auto found = runs_.find(key);
  return found == runs_.end() ? nullptr : &found->second;
}

void RunTable::removeIfDone(const RunKey& key) {
  const BatchRun* run = find(key);
  if (run != nullptr && run->ended && run->items.empty()) {
    runs_.erase(key);
  }
}

bool RunTable::hasRunOrNewer(const RunKey& key) const {
  const auto newer = runs_.upper_bound(key);
  const bool superseded = newer != runs_.end() && newer->first.first == key.first;
  return superseded || runs_.count(key) != 0;
}

bool RunTable::mayStart(const BatchRun& run) const {
  return !draining_ && !run.stopped && !run.ended && context_.now() < run.leaseEnd;
}

NodeId RunTable::ownerOf(const BatchRun& run) const {
  return locator_.candidate(run.partition, run.locatorAttempt);
}

std::vector<RunKey> RunTable::keys() const {
  std::vector<RunKey> keys;
  for (const auto& entry : runs_) {
    keys.push_back(entry.first);
  }
  return keys;
}

}  // namespace shedshed

/// @file
/// The disk of a simulated node: the real ring of files on a file system that loses, tears and
/// damages what was not synced.
#pragma once

#include "kernel/core.h"
#include "storage/fake_file_system.h"
#include "storage/log_structured_store.h"

#include <memory>

namespace shedshed::sim {

/// Outlives the processes that use it.
class SimDisk {
 public:
  /// Opens or creates the ring, as a process does at its start.
  Status open(RandomEngine& random);

  Status append(const std::vector<Mutation>& mutations) { return store_->append(mutations); }
  Status sync() { return store_->sync(); }
  const RecordReader& records() const { return *store_; }
  const std::string& storeId() const { return store_->storeId(); }

  /// Power loss.
  void crash(RandomEngine& random);

  /// Returns when a request that is made now will be synced, if one sync takes @p delay. Requests
  /// that are made during a sync share the next one.
  Time syncedAt(Time now, Duration delay);

  FakeFileSystem& files() { return files_; }

 private:
  FakeFileSystem files_;
  std::unique_ptr<LogStructuredStore> store_;
  Time currentSyncEnd_{};  ///< End of the sync that runs, or ran last.
  Time nextSyncEnd_{};     ///< End of the sync that follows it, if somebody waits for one.
};

}  // namespace shedshed::sim

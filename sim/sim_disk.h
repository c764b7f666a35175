/// @file
/// Disk of a simulated node: the real log-structured store on a fake file system that loses, tears
/// or corrupts unsynced writes in a crash.
#pragma once

#include "kernel/core.h"
#include "storage/fake_file_system.h"
#include "storage/log_structured_store.h"

#include <memory>

namespace shedshed::sim {

/// Persists across restarts of the simulated process.
class SimDisk {
 public:
  /// Opens or creates the store, as a process does when it starts.
  Status open(RandomEngine& random);

  Status append(const std::vector<Mutation>& mutations) { return store_->append(mutations); }
  Status sync() { return store_->sync(); }
  const RecordReader& records() const { return *store_; }
  const std::string& storeId() const { return store_->storeId(); }

  /// Simulates a power loss.
  void crash(RandomEngine& random);

  /// Returns the time at which a sync requested at @p now completes, if one sync takes @p delay.
  /// Requests made during a sync share the next one (group commit).
  Time syncedAt(Time now, Duration delay);

  FakeFileSystem& files() { return files_; }

 private:
  FakeFileSystem files_;
  std::unique_ptr<LogStructuredStore> store_;
  Time currentSyncEnd_{};  ///< End of the current or latest sync.
  Time nextSyncEnd_{};     ///< End of the next sync, if one is requested.
};

}  // namespace shedshed::sim

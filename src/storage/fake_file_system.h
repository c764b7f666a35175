/// @file
/// A file system in memory that loses, tears and corrupts data on demand.
#pragma once

#include "kernel/core.h"
#include "storage/file_system.h"

#include <limits>
#include <map>
#include <memory>
#include <set>

namespace shedshed {

/// Unit that a disk writes atomically, in bytes.
constexpr std::size_t kFakeSectorBytes = 512;

/// Disk of a simulated node. Not thread-safe. It must outlive the files opened from it. Files
/// that were opened before `crash` fail afterwards.
class FakeFileSystem : public FileSystem {
 public:
  Status createFolder(const std::string& folder) override;
  Result<std::unique_ptr<File>> openPreallocated(const std::string& path,
                                                 std::uint64_t bytes) override;
  Status syncFolder(const std::string& folder) override;
  Result<std::vector<std::string>> list(const std::string& folder) const override;
  Status rename(const std::string& from, const std::string& to) override;
  Status remove(const std::string& path) override;
  Result<std::unique_ptr<FileLock>> lock(const std::string& path) override;

  /// Power loss: each unsynced sector and name independently survives or is lost; the share that
  /// survives is drawn anew for each crash. Failures that were set are cleared, the power is back.
  void crash(RandomEngine& random);

  /// End of the process alone: nothing is lost, unsynced data stays unsynced.
  void endProcess();

  /// Cuts the power after @p operations more writes and syncs: from then on all fail until
  /// `crash`.
  void cutPowerAfter(std::uint64_t operations) { operationsUntilPowerCut_ = operations; }

  /// Lets the next sync fail; what it should have written is marked clean but is lost at a crash,
  /// as on a kernel that drops dirty pages after a write error.
  void failNextSync() { failSync_ = true; }

  /// Lets the next write fail.
  void failNextWrite() { failWrite_ = true; }

  /// Refuses allocations that bring the total over @p bytes.
  void limitBytes(std::uint64_t bytes) { limitBytes_ = bytes; }

  /// Flips one bit of @p path, also on the disk.
  void flipBit(const std::string& path, std::uint64_t offset, unsigned bit);

  /// Removes all files, as a replaced disk would.
  void removeAllFiles();

  std::uint64_t fileBytes(const std::string& path) const;

  /// Sizes of all files together.
  std::uint64_t allocatedBytes() const;

  /// Writes and syncs done so far.
  std::uint64_t operations() const { return operations_; }

 private:
  friend class FakeFile;
  struct Content {
    std::string current;
    std::string durable;
    std::set<std::size_t> dirtySectors;

    void makeDurable(std::size_t sector);
  };
  using Names = std::map<std::string, std::shared_ptr<Content>>;

  Status countOperation();
  Status allocate(Content& content, std::uint64_t bytes);

  Names names_;
  Names durableNames_;
  std::set<std::string> locks_;
  std::uint64_t generation_ = 0;
  std::uint64_t operations_ = 0;
  std::uint64_t operationsUntilPowerCut_ = std::numeric_limits<std::uint64_t>::max();
  std::uint64_t limitBytes_ = std::numeric_limits<std::uint64_t>::max();
  bool failSync_ = false;
  bool failWrite_ = false;

  class Lock;
};

}  // namespace shedshed

/// @file
/// In-memory file system that simulates power loss, torn writes and corruption.
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

/// Disk of a simulated node. Not thread-safe. It must outlive the files opened from it. Reads,
/// writes and syncs fail on files that were opened before `crash` or `endProcess`.
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

  /// Simulates a power loss: each unsynced sector and file name independently survives or is lost,
  /// with a survival probability drawn for each crash. Clears injected failures and restores the
  /// power.
  void crash(RandomEngine& random);

  /// Simulates the end of the process alone: no data is lost, unsynced data stays unsynced.
  void endProcess();

  /// Cuts the power after @p operations more writes and syncs: further ones fail until `crash`.
  void cutPowerAfter(std::uint64_t operations) { operationsUntilPowerCut_ = operations; }

  /// Makes the next sync fail. The sectors that it should have written are marked clean but are
  /// lost at a crash, as on a kernel that drops dirty pages after a write error.
  void failNextSync() { failSync_ = true; }

  /// Makes the next write fail.
  void failNextWrite() { failWrite_ = true; }

  /// Rejects allocations that would raise the total size of all files above @p bytes.
  void limitBytes(std::uint64_t bytes) { limitBytes_ = bytes; }

  /// Flips one bit of @p path in both the current and the durable content.
  void flipBit(const std::string& path, std::uint64_t offset, unsigned bit);

  /// Simulates the replacement of the disk: removes all files and ends the process.
  void removeAllFiles();

  std::uint64_t fileBytes(const std::string& path) const;

  /// Total size of all files, in bytes.
  std::uint64_t allocatedBytes() const;

  /// Number of writes and syncs so far.
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

/// @file
/// File system of the operating system.
#pragma once

#include "storage/file_system.h"

namespace shedshed {

/// Implements `FileSystem` with POSIX calls. Thread-safe.
class PosixFileSystem : public FileSystem {
 public:
  Status createFolder(const std::string& folder) override;
  Result<std::unique_ptr<File>> openPreallocated(const std::string& path,
                                                 std::uint64_t bytes) override;
  Status syncFolder(const std::string& folder) override;
  Result<std::vector<std::string>> list(const std::string& folder) const override;
  Status rename(const std::string& from, const std::string& to) override;
  Status remove(const std::string& path) override;
  Result<std::unique_ptr<FileLock>> lock(const std::string& path) override;
};

}  // namespace shedshed

/// @file
/// File system interface of the storage module. `PosixFileSystem` implements it with the operating
/// system, `FakeFileSystem` in memory for the simulator and the tests. Unless stated otherwise,
/// operations fail with StorageFailed, StorageFull (no space) or NotFound.
#pragma once

#include "kernel/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// An open file. Its size is set by `allocate`.
class File {
 public:
  virtual ~File() = default;

  /// Reads exactly @p bytes bytes at @p offset.
  virtual Result<std::string> readAt(std::uint64_t offset, std::size_t bytes) const = 0;

  /// Allocates the first @p bytes bytes, zero where never written, and makes the size durable.
  /// Fails with StorageFull if the disk has no space. A larger file keeps its size.
  virtual Status allocate(std::uint64_t bytes) = 0;

  /// Shortens the file to @p bytes bytes and frees the remaining space. Durable after `sync`.
  virtual Status truncate(std::uint64_t bytes) = 0;

  /// Writes all of @p data at @p offset. Durable only after `sync`.
  virtual Status writeAt(std::uint64_t offset, std::string_view data) = 0;

  /// Makes all earlier writes durable (fdatasync). After a failure the state of earlier writes is
  /// unknown, and a later successful sync does not imply that they are durable.
  virtual Status sync() = 0;
};

/// A lock file that is held for the lifetime of the object.
class FileLock {
 public:
  virtual ~FileLock() = default;
};

/// Creates, opens, lists, renames and removes files. Paths are used as given.
class FileSystem {
 public:
  virtual ~FileSystem() = default;

  /// Creates @p folder and its parents if absent, and makes their directory entries durable.
  virtual Status createFolder(const std::string& folder) = 0;

  /// Opens @p path, or creates it if absent. Its first @p bytes bytes are allocated, and zero where
  /// never written. The directory entry is durable only after `syncFolder`.
  virtual Result<std::unique_ptr<File>> openPreallocated(const std::string& path,
                                                         std::uint64_t bytes) = 0;

  /// Makes the directory entries in @p folder durable.
  virtual Status syncFolder(const std::string& folder) = 0;

  /// Returns the names of the files in @p folder in ascending order.
  virtual Result<std::vector<std::string>> list(const std::string& folder) const = 0;

  virtual Status rename(const std::string& from, const std::string& to) = 0;
  virtual Status remove(const std::string& path) = 0;

  /// Acquires the lock file @p path without waiting. Fails with AlreadyExists if it is held
  /// already.
  virtual Result<std::unique_ptr<FileLock>> lock(const std::string& path) = 0;
};

}  // namespace shedshed

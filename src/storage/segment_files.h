/// @file
/// The preallocated files of a log-structured store.
#pragma once

#include "storage/file_system.h"
#include "storage/log_store_options.h"
#include "storage/segment_format.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// The segment files of one folder, used in rotation: segment n is stored in slot n modulo the
/// segment count. Holds the folder's lock for its lifetime. `readAt` of a segment may be called
/// from any thread, everything else only from the writing thread.
class SegmentFiles {
 public:
  /// Opens or creates the files in @p folder and makes their directory entries durable. Fails with
  /// AlreadyExists if another process has the folder open. The file system must outlive the object.
  static Result<std::unique_ptr<SegmentFiles>> open(FileSystem& fileSystem, std::string folder,
                                                    const LogStoreOptions& options);

  /// Returns a valid header of any segment file in @p folder, which is created if absent; nullopt
  /// if there is none.
  static Result<std::optional<SegmentHeader>> findHeader(FileSystem& fileSystem,
                                                         const std::string& folder);

  /// Name of the file of @p slot in its folder.
  static std::string fileName(std::uint64_t slot);

  const std::string& folder() const { return folder_; }
  const LogStoreOptions& options() const { return options_; }

  std::uint64_t slotOf(std::uint64_t segmentSequence) const {
    return segmentSequence % options_.segmentCount;
  }

  /// The file of a segment.
  File& segment(std::uint64_t segmentSequence) const { return *files_[slotOf(segmentSequence)]; }

  /// Reads a whole segment, including its header.
  Result<std::string> readSegment(std::uint64_t segmentSequence) const;

  /// Reads the headers by slot; nullopt where a header fails its checksum.
  Result<std::vector<std::optional<SegmentHeader>>> readHeaders() const;

  /// True if all bytes of the headers are zero: no header was ever written.
  Result<bool> headersAreBlank() const;

  /// Writes a header into the file of @p slot and syncs it.
  Status writeHeader(std::uint64_t slot, const std::string& storeId, std::uint64_t segmentSequence,
                     std::uint64_t firstSequence);

  /// Allocates the file of @p slot at its full size, unless it is known to have it. Changes nothing
  /// else. Fails with StorageFull if the disk has no space.
  Status allocate(std::uint64_t slot);

  /// Truncates the file of @p slot to its header block, which frees the remaining space.
  Status release(std::uint64_t slot);

 private:
  SegmentFiles(std::string folder, const LogStoreOptions& options)
      : folder_(std::move(folder)), options_(options) {}
  Status openAll(FileSystem& fileSystem);

  const std::string folder_;
  const LogStoreOptions options_;
  std::unique_ptr<FileLock> lock_;
  std::vector<std::unique_ptr<File>> files_;
  std::vector<bool> allocated_;  ///< By slot; true if known to have its full size.
};

}  // namespace shedshed

/// @file
/// Index of the newest version of each key.
#pragma once

#include "kernel/core.h"
#include "storage/segment_files.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Location of the newest value of a key.
struct RecordLocation {
  std::optional<std::string> cached;  ///< The value itself, if it is small.
  std::uint64_t segmentSequence = 0;
  std::uint64_t offset = 0;  ///< Of the value in its segment.
  std::uint32_t bytes = 0;
  std::uint64_t checksum = 0;
};

/// Reads the value at @p location. Fails with StorageCorrupt if its checksum does not match.
Result<std::string> readValue(const SegmentFiles& files, const RecordLocation& location);

/// In-memory index of a log-structured store, rebuilt from the segments by recovery. `apply` and
/// `forEachIn` must be called from a single thread, the other methods from any thread. The lock is
/// held only for short in-memory operations.
class RecordIndex {
 public:
  /// Values up to @p cachedValueBytes are kept in memory.
  explicit RecordIndex(std::uint64_t cachedValueBytes) : cachedValueBytes_(cachedValueBytes) {}

  /// Applies the valid payload of a record, which starts at @p payloadOffset of its segment.
  void apply(std::string_view payload, std::uint64_t segmentSequence, std::uint64_t payloadOffset);

  std::optional<RecordLocation> find(std::string_view key) const;

  /// Returns the keys with @p prefix, ascending.
  std::vector<std::string> keys(std::string_view prefix) const;

  /// Payload bytes of the newest versions of all keys.
  std::uint64_t liveBytes() const;

  /// Returns the value of `liveBytes` after @p mutations, without applying them.
  std::uint64_t liveBytesAfter(const std::vector<Mutation>& mutations) const;

  /// Calls @p visit for the live records of a segment, ascending by key, until it returns an error.
  /// Takes no lock: only the calling thread changes the index.
  Status forEachIn(
      std::uint64_t segmentSequence,
      const std::function<Status(const std::string& key, const RecordLocation&)>& visit) const;

 private:
  const std::uint64_t cachedValueBytes_;
  mutable std::mutex mutex_;
  std::map<std::string, RecordLocation, std::less<>> locations_;
  std::uint64_t liveBytes_ = 0;
};

}  // namespace shedshed

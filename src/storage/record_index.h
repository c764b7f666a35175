/// @file
/// Where the newest version of each key is.
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

/// Where the newest value of a key is.
struct RecordLocation {
  std::optional<std::string> cached;  ///< The value itself, if it is small.
  std::uint64_t segmentSequence = 0;
  std::uint64_t offset = 0;  ///< Of the value in its segment.
  std::uint32_t bytes = 0;
  std::uint64_t checksum = 0;
};

/// Reads the value at @p location. StorageCorrupt if it fails its checksum.
Result<std::string> readValue(const SegmentFiles& files, const RecordLocation& location);

/// The index of a log-structured store, in memory; recovery builds it anew from the segments.
/// `apply` and `forEachIn` are called by one thread, the other methods by any. The lock is held for
/// short steps in memory only.
class RecordIndex {
 public:
  /// Values up to @p cachedValueBytes are kept in memory.
  explicit RecordIndex(std::uint64_t cachedValueBytes) : cachedValueBytes_(cachedValueBytes) {}

  /// Applies the valid payload of a record, which lies at @p payloadOffset of its segment.
  void apply(std::string_view payload, std::uint64_t segmentSequence, std::uint64_t payloadOffset);

  std::optional<RecordLocation> find(std::string_view key) const;

  /// Returns the keys with @p prefix, ascending.
  std::vector<std::string> keys(std::string_view prefix) const;

  /// Bytes that the newest versions of all keys take in payloads.
  std::uint64_t liveBytes() const;

  /// What `liveBytes` would be after @p mutations.
  std::uint64_t liveBytesAfter(const std::vector<Mutation>& mutations) const;

  /// Calls @p visit for the live records of a segment, ascending by key, until it fails. Takes no
  /// lock: only the calling thread changes the index.
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

/// @file
/// Recovery of a log-structured store from its segments.
#pragma once

#include "kernel/core.h"
#include "storage/record_index.h"
#include "storage/segment_files.h"
#include "storage/segment_writer.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// Builds the index from the segments, finds the end of the log and overwrites a torn write there
/// with zeros, or creates the store if the folder is empty. A crash at any step leaves a state that
/// the next recovery accepts. Used once, before the first append.
class LogRecovery {
 public:
  /// Does not own @p files and @p index, which must outlive it. @p index must be empty.
  LogRecovery(SegmentFiles& files, RecordIndex& index) : files_(files), index_(index) {}

  /// Returns the end of the log. Fails with StorageCorrupt if a synced record or a header is lost
  /// or damaged, and with InvalidArgument if the store was created with other sizes. The recovered
  /// records may still be unsynced.
  Result<LogPosition> run(RandomEngine& random);

 private:
  using Headers = std::vector<std::optional<SegmentHeader>>;  ///< By slot.

  /// Finds the newest segment and the id of the store, or creates the store.
  Status locateNewest(const Headers& headers, RandomEngine& random);
  Status checkSizes(const Headers& headers) const;
  Status checkHeaders(const Headers& headers) const;
  Status replaySegments(const Headers& headers);
  /// Applies the records of one segment; returns where the first unreadable one begins.
  Result<std::uint64_t> replaySegment(const SegmentHeader& header, std::string_view content);
  Status zeroTail(std::string_view content);
  Result<bool> startsWithCompaction(std::uint64_t segmentSequence) const;

  SegmentFiles& files_;
  RecordIndex& index_;
  LogPosition position_;
};

}  // namespace shedshed

/// @file
/// Appends records to the active segment of a log-structured store.
#pragma once

#include "storage/record_index.h"
#include "storage/segment_files.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

namespace shedshed {

/// Where the log of a store ends.
struct LogPosition {
  std::string storeId;
  std::uint64_t segmentSequence = 0;          ///< Of the active segment.
  std::uint64_t offset = kFirstRecordOffset;  ///< Where the next record goes in that segment.
  std::uint64_t nextSequence = 1;             ///< Of the next record.
};

/// The write position of a store: appends records, begins segments and compacts the oldest one.
/// After a failure the segment's content is unknown, and the caller must not write again.
///
/// Used by one thread at a time. `reclaimedSegments` and `segmentsBegun` may be called by any.
class SegmentWriter {
 public:
  /// Keeps references; they must outlive it.
  SegmentWriter(SegmentFiles& files, RecordIndex& index, LogPosition position);

  const std::string& storeId() const { return position_.storeId; }

  /// True if the active segment has room for a record with a payload of this size.
  bool fits(std::uint64_t payloadBytes) const;

  /// True if the active segment has no record yet: a crash came before its compaction record.
  bool isSegmentEmpty() const { return position_.offset == kFirstRecordOffset; }

  /// Appends one record that `fits`, and makes it visible in the index.
  Status append(RecordKind kind, const std::string& payload);

  /// Gives the next segment's file its full size. Changes nothing else, so StorageFull leaves the
  /// writer usable.
  Status allocateNextSegment();

  /// Syncs the active segment, begins the next one and compacts the then oldest one into it.
  Status beginNextSegment();

  /// Writes the live records of the oldest segment as the first record of the active one.
  Status compactOldest();

  /// Makes all records durable. Earlier segments were synced when the active one was begun.
  Status syncActive();

  // For a sync that does not block the writer meanwhile.
  File& activeSegment() const { return files_.segment(position_.segmentSequence); }
  std::uint64_t lastAppended() const { return position_.nextSequence - 1; }

  /// True if a record other than a sync marker is not synced yet.
  bool hasUnsynced() const { return syncedSequence_ < lastRecord_; }

  /// All records up to @p sequence were synced.
  void setSynced(std::uint64_t sequence);

  /// Segments that were compacted since the start.
  std::uint64_t reclaimedSegments() const { return reclaimedSegments_; }

  /// Segments that were begun since the store was created.
  std::uint64_t segmentsBegun() const { return segmentsBegun_; }

 private:
  Result<std::string> liveRecordsOf(std::uint64_t segmentSequence) const;

  SegmentFiles& files_;
  RecordIndex& index_;
  LogPosition position_;
  std::uint64_t syncedSequence_ = 0;
  std::uint64_t lastRecord_ = 0;  ///< Sequence of the newest record that is not a sync marker.
  std::atomic<std::uint64_t> reclaimedSegments_{0};
  std::atomic<std::uint64_t> segmentsBegun_;
};

}  // namespace shedshed

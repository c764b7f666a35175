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

/// The end of the log of a store.
struct LogPosition {
  std::string storeId;
  std::uint64_t segmentSequence = 0;          ///< Of the active segment.
  std::uint64_t offset = kFirstRecordOffset;  ///< Of the next record in that segment.
  std::uint64_t nextSequence = 1;             ///< Of the next record.
};

/// Appends records at the end of the log, starts segments and compacts the oldest one. After a
/// failed write or sync the content of the segment is unknown, and the caller must not write again.
///
/// Not thread-safe, except for `reclaimedSegments` and `segmentsBegun`.
class SegmentWriter {
 public:
  /// Does not own @p files and @p index, which must outlive it.
  SegmentWriter(SegmentFiles& files, RecordIndex& index, LogPosition position);

  const std::string& storeId() const { return position_.storeId; }

  /// True if the active segment has room for a record with a payload of this size.
  bool fits(std::uint64_t payloadBytes) const;

  /// True if the active segment has no record: a crash came before its compaction record was
  /// written.
  bool isSegmentEmpty() const { return position_.offset == kFirstRecordOffset; }

  /// Appends one record, for which `fits` must hold, and applies it to the index.
  Status append(RecordKind kind, const std::string& payload);

  /// Allocates the file of the next segment at its full size. Changes nothing else, so the writer
  /// remains usable after StorageFull.
  Status allocateNextSegment();

  /// Syncs the active segment, starts the next one and compacts the segment that is then the oldest
  /// into it.
  Status beginNextSegment();

  /// Writes the live records of the oldest segment as the first record of the active one.
  Status compactOldest();

  /// Makes all records durable. Earlier segments were synced before the active one was started.
  Status syncActive();

  // Allow the caller to sync without holding its lock.
  File& activeSegment() const { return files_.segment(position_.segmentSequence); }
  std::uint64_t lastAppended() const { return position_.nextSequence - 1; }

  /// True if a record other than a sync marker is not synced yet.
  bool hasUnsynced() const { return syncedSequence_ < lastRecord_; }

  /// Notes that all records up to @p sequence were synced.
  void setSynced(std::uint64_t sequence);

  /// Segments compacted since the store was opened.
  std::uint64_t reclaimedSegments() const { return reclaimedSegments_; }

  /// Segments started since the store was created.
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

/// @file
/// The node's durable records in a log of preallocated segment files.
///
/// A file gets its full size before its first use, so that a store takes no more of the disk than
/// it has ever needed, and the disk can't run out in the middle of a segment.
///
/// Records are appended to the active segment. When it is full it is synced, the next file in turn
/// gets a new header, and the live records of the then oldest segment are compacted into the first
/// record of the new one. The oldest segment's file is overwritten one segment later only, after
/// the segment that holds the compacted records was synced. Hence at all times one file is spare,
/// all segments but the active one are synced completely, and a torn write can occur in the active
/// one only.
///
/// Tombstones need not be compacted: when the segment that holds one is reclaimed it is the oldest,
/// so every older record of the key is in it too or has been overwritten durably.
#pragma once

#include "storage/durable_records.h"
#include "storage/file_system.h"
#include "storage/log_store_options.h"
#include "storage/record_index.h"
#include "storage/segment_files.h"
#include "storage/segment_writer.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

struct LogStoreUsage {
  std::uint64_t liveBytes = 0;          ///< Bytes of the newest versions of all keys.
  std::uint64_t freeBytes = 0;          ///< Bytes that live records may still grow by.
  std::uint32_t segments = 0;           ///< Segment files of the store.
  std::uint64_t reclaimedSegments = 0;  ///< Segments compacted since the store was opened.
  std::uint64_t wraps = 0;              ///< Full turns through all files since the creation.
};

/// Durable records. `append` and `sync` are called by one thread; `read`, `keys` and `usage` may be
/// called by others at the same time and never wait for the disk's sync. The file system must
/// outlive the store.
///
/// This class has the locking and the handling of failures; the layout and position are in
/// `SegmentFiles` and `SegmentWriter`, the keys in `RecordIndex`, the opening in `LogRecovery`.
class LogStructuredStore : public DurableRecords {
 public:
  /// Opens the store in @p folder, or creates it with a random store id. A torn write at the end is
  /// cut: groups are recovered completely or not at all. StorageCorrupt if a synced record or
  /// header fails its checksum; InvalidArgument if the sizes differ from those that the store was
  /// created with; AlreadyExists if another process has it open. Damage to the last synced records
  /// can't be told from a torn write, and is cut, if the marker written after their sync was lost
  /// too.
  static Result<std::unique_ptr<LogStructuredStore>>
  open(FileSystem& fileSystem, std::string folder, LogStoreOptions options, RandomEngine& random);

  /// Returns @p wanted with the sizes of the store in @p folder, or unchanged if there is none: a
  /// store keeps the sizes that it was created with.
  static Result<LogStoreOptions> optionsFor(FileSystem& fileSystem, const std::string& folder,
                                            LogStoreOptions wanted);

  /// 32 hexadecimal digits, drawn when the folder was new.
  const std::string& storeId() const { return writer_.storeId(); }

  /// Appends one atomic group, visible to `read` at once, durable after the next `sync`.
  /// StorageFull (nothing changed), TooLarge (bigger than a segment), StorageFailed (poisoned: all
  /// later calls fail too).
  Status append(const std::vector<Mutation>& mutations) override;

  /// Makes durable what was appended before. After a failure the store is poisoned, since the
  /// operating system may have dropped the writes.
  Status sync() override;

  Result<std::optional<std::string>> read(std::string_view key) const override;
  std::vector<std::string> keys(std::string_view prefix) const override;
  LogStoreUsage usage() const;
  RecordSpace space() const override;

 private:
  LogStructuredStore(std::unique_ptr<SegmentFiles> files, std::unique_ptr<RecordIndex> index,
                     LogPosition position);
  /// Syncs what recovery found and completes an interrupted begin of a segment.
  Status finishRecovery();
  Status poison(const Error& error);
  Status checkRoom(const std::vector<Mutation>& mutations) const;
  Status makeRoom(std::uint64_t payloadBytes);

  const std::unique_ptr<SegmentFiles> files_;
  const std::unique_ptr<RecordIndex> index_;

  /// Guards the writer and the failure. Not held by readers, nor during the disk's sync.
  std::mutex writeMutex_;
  SegmentWriter writer_;
  std::optional<Error> poisoned_;
};

}  // namespace shedshed

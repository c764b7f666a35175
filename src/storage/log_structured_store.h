/// @file
/// The node's durable records in a log of preallocated segment files.
///
/// A file is allocated at its full size before its first use. A store therefore takes no more disk
/// space than it has ever needed, and the disk cannot run out of space in the middle of a segment.
///
/// Records are appended to the active segment. When it is full it is synced, the next file in
/// rotation gets a new header, and the live records of the segment that is then the oldest are
/// compacted into the first record of the new one. The file of the oldest segment is overwritten
/// only one segment later, after the segment that holds the compacted records was synced. Hence one
/// file is always spare, all segments except the active one are completely synced, and a torn write
/// can occur only in the active one.
///
/// Tombstones need not be compacted: the segment that holds one is the oldest when it is reclaimed,
/// so every older record of the key is in the same segment or has been overwritten durably.
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
  std::uint64_t wraps = 0;  ///< Complete rotations through all files since the store was created.
};

/// Durable records in segment files. `append` and `sync` must be called from a single thread;
/// `read`, `keys` and `usage` may be called concurrently from other threads and never wait for a
/// disk sync. The file system must outlive the store.
///
/// This class handles locking and failures. `SegmentFiles` implements the layout, `SegmentWriter`
/// the write position, `RecordIndex` the keys, and `LogRecovery` the opening of a store.
class LogStructuredStore : public DurableRecords {
 public:
  /// Opens the store in @p folder, or creates it with a random store id. A torn write at the end is
  /// discarded: groups are recovered completely or not at all. Fails with StorageCorrupt if a
  /// synced record or header fails its checksum, with InvalidArgument if the sizes differ from
  /// those that the store was created with, and with AlreadyExists if another process has it open.
  /// Damage to the last synced records cannot be told from a torn write, and they are discarded, if
  /// the sync marker written after them was lost too.
  static Result<std::unique_ptr<LogStructuredStore>>
  open(FileSystem& fileSystem, std::string folder, LogStoreOptions options, RandomEngine& random);

  /// Returns @p wanted with the sizes of the store in @p folder, or unchanged if there is none: the
  /// sizes of a store are fixed when it is created.
  static Result<LogStoreOptions> optionsFor(FileSystem& fileSystem, const std::string& folder,
                                            LogStoreOptions wanted);

  /// 32 hexadecimal digits, generated at random when the store was created.
  const std::string& storeId() const { return writer_.storeId(); }

  /// Appends one atomic group, which is immediately visible to `read` and durable after the next
  /// `sync`. Fails with StorageFull (nothing changed), TooLarge (larger than a segment) or
  /// StorageFailed (the store is poisoned: all later calls fail too).
  Status append(const std::vector<Mutation>& mutations) override;

  /// Makes all previously appended groups durable. A failure poisons the store, since the operating
  /// system may have dropped the writes.
  Status sync() override;

  Result<std::optional<std::string>> read(std::string_view key) const override;
  std::vector<std::string> keys(std::string_view prefix) const override;
  LogStoreUsage usage() const;
  RecordSpace space() const override;

 private:
  LogStructuredStore(std::unique_ptr<SegmentFiles> files, std::unique_ptr<RecordIndex> index,
                     LogPosition position);
  /// Syncs the recovered records and completes an interrupted start of a segment.
  Status finishRecovery();
  Status poison(const Error& error);
  Status checkRoom(const std::vector<Mutation>& mutations) const;
  Status makeRoom(std::uint64_t payloadBytes);

  const std::unique_ptr<SegmentFiles> files_;
  const std::unique_ptr<RecordIndex> index_;

  /// Guards `writer_` and `poisoned_`. Not held by readers, nor during the disk sync of `sync`.
  std::mutex writeMutex_;
  SegmentWriter writer_;
  std::optional<Error> poisoned_;
};

}  // namespace shedshed

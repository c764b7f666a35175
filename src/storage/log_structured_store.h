/// @file
/// The node's durable records in a ring of preallocated files.
///
/// A file gets its full size before its first use, so that a ring takes no more of the disk than it
/// has ever needed, and the disk can't run out in the middle of a file.
///
/// Records are appended to the active file. When it is full it is synced, the next file in the
/// ring gets a new header, and the live records of the then oldest file are written forward as the
/// first record of the new one. The oldest file is overwritten at the next turn only, after that
/// turn has synced the file that holds the forwarded records. Hence at all times one file is spare,
/// all files but the active one are synced whole, and a torn tail can occur in the active one only.
///
/// Tombstones need not be forwarded: when the file that holds one is reclaimed it is the oldest,
/// so every older record of the key is in it too or has been overwritten durably.
#pragma once

#include "kernel/core.h"
#include "storage/durable_records.h"
#include "storage/file_system.h"
#include "storage/segment_format.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

struct RingKnobs {
  std::uint64_t fileBytes = 16 * 1024 * 1024;  ///< Size of each file, in bytes.
  std::uint32_t fileCount = 8;                 ///< At least 3.
  std::uint64_t cachedValueBytes = 1024;       ///< Larger values are read from the disk.
  /// Share of `fileCount - 2` files that live records may fill, in percent. The rest keeps
  /// reclaiming cheap.
  std::uint32_t livePercent = 75;
  /// Simulator only: with false, a file is reused without syncing the forwarded records first. For
  /// the test that shows that the crash tests find the loss.
  bool syncBeforeReuse = true;
};

struct RingUsage {
  std::uint64_t liveBytes = 0;       ///< Bytes of the newest versions of all keys.
  std::uint64_t freeBytes = 0;       ///< Bytes that live records may still grow by.
  std::uint32_t files = 0;           ///< Files in the ring.
  std::uint64_t reclaimedFiles = 0;  ///< Files reclaimed since the store was opened.
  std::uint64_t wraps = 0;           ///< Full turns around the ring since the store was created.
};

/// Durable records. `append` and `sync` are called by one thread; `read`, `keys` and `usage` may be
/// called by others at the same time and never wait for the disk's sync. The file system must
/// outlive the ring.
class RecordRing : public DurableRecords {
 public:
  /// Opens the ring in @p folder, or creates it with a random store id. A torn tail is cut: groups
  /// are recovered whole or not at all. StorageCorrupt if a synced record or header fails its
  /// checksum; InvalidArgument if the knobs differ from those that the ring was created with;
  /// AlreadyExists if another process has it open. Damage to the last synced records can't
  /// be told from a torn tail, and is cut, if the mark written after their sync was lost too.
  static Result<std::unique_ptr<RecordRing>> open(FileSystem& files, std::string folder,
                                                  RingKnobs knobs, RandomEngine& random);

  /// Returns @p wanted with the sizes of the ring in @p folder, or unchanged if there is none: a
  /// ring keeps the sizes that it was created with.
  static Result<RingKnobs> knobsFor(FileSystem& files, const std::string& folder, RingKnobs wanted);

  /// 32 hexadecimal digits, drawn when the folder was new.
  const std::string& storeId() const { return storeId_; }

  /// Appends one atomic group, visible to `read` at once, durable after the next `sync`.
  /// StorageFull (nothing changed), TooLarge (bigger than a file), StorageFailed (poisoned: all
  /// later calls fail too).
  Status append(const std::vector<Mutation>& mutations) override;

  /// Makes durable what was appended before. After a failure the ring is poisoned, since the
  /// operating system may have dropped the writes.
  Status sync() override;

  Result<std::optional<std::string>> read(std::string_view key) const override;
  std::vector<std::string> keys(std::string_view prefix) const override;
  RingUsage usage() const;
  RecordSpace space() const override;

 private:
  /// The newest version of a key.
  struct Version {
    std::optional<std::string> cached;
    std::uint64_t fileSequence = 0;
    std::uint64_t offset = 0;  ///< Of the value in its file.
    std::uint32_t bytes = 0;
    std::uint64_t checksum = 0;
  };
  using Index = std::map<std::string, Version, std::less<>>;

  RecordRing(std::string folder, RingKnobs knobs);

  // Opening; ring_recovery.cpp.
  Status openFiles(FileSystem& files);
  Status recover(RandomEngine& random);
  Status create(RandomEngine& random);
  Status checkDiskHasRoom();
  Result<std::vector<std::optional<FileHeader>>> readHeaders() const;
  Status checkKnobs(const std::vector<std::optional<FileHeader>>& headers) const;
  Status finishCreation(const std::vector<std::optional<FileHeader>>& headers);
  Status checkHeaders(const std::vector<std::optional<FileHeader>>& headers) const;
  Status replayFiles(const std::vector<std::optional<FileHeader>>& headers);
  Status replayFile(const FileHeader& header, std::string_view content, std::uint64_t& end);
  Status cutTail(std::string_view content, std::uint64_t end);
  bool holdsRecord(std::string_view content, std::uint64_t fileSequence) const;
  Result<bool> startsWithForward(std::uint64_t fileSequence) const;

  // Appending; record_ring.cpp.
  Status poison(const Error& error);
  Status checkRoom(const std::vector<Mutation>& mutations);
  Status rotate();
  /// Gives the file its full size, once. Changes nothing else.
  Status allocateFile(std::uint64_t slot);
  Status writeFileHeader(std::uint64_t slot, std::uint64_t fileSequence,
                         std::uint64_t firstSequence);
  Status forwardOldest();
  Status syncActive();
  Status writeRecord(RecordKind kind, const std::string& payload);
  void apply(std::string_view payload, std::uint64_t fileSequence, std::uint64_t payloadOffset);
  Result<std::string> readVersion(const Version& version) const;
  bool fits(std::uint64_t payloadBytes) const;
  std::uint64_t maximumPayloadBytes() const;
  std::uint64_t liveLimitBytes() const;
  File& file(std::uint64_t fileSequence) const { return *files_[fileSequence % knobs_.fileCount]; }

  const std::string folder_;
  const RingKnobs knobs_;
  std::string storeId_;
  std::unique_ptr<FileLock> lock_;
  std::vector<std::unique_ptr<File>> files_;
  std::vector<bool> allocated_;  ///< By slot: known to have its full size.

  /// Guards the write position and the sequences. Not held by readers, nor during `sync`'s
  /// fdatasync.
  std::mutex writeMutex_;
  std::uint64_t fileSequence_ = 0;  ///< Of the active file.
  std::uint64_t offset_ = 0;        ///< Where the next record goes in the active file.
  std::uint64_t nextSequence_ = 1;
  std::uint64_t syncedSequence_ = 0;
  std::uint64_t lastSequence_ = 0;  ///< Of the newest record that is not a sync mark.
  std::optional<Error> poisoned_;

  /// Guards the index; held for short steps in memory only.
  mutable std::mutex indexMutex_;
  Index index_;
  std::uint64_t liveBytes_ = 0;
  std::uint64_t reclaimedFiles_ = 0;
  std::uint64_t turns_ = 0;  ///< Copy of fileSequence_ for `usage`.
};

}  // namespace shedshed

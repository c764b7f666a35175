/// @file
/// Creation of a log-structured store in an empty folder.
#pragma once

#include "kernel/core.h"
#include "storage/segment_files.h"

namespace shedshed {

/// Creates a store in steps that a crash may interrupt at any point: the store exists once the
/// header of segment 1 is written; the headers of the unused files are written before the first
/// record. Used once, before the segments are replayed.
class StoreCreation {
 public:
  /// Does not own @p files, which must outlive the object.
  explicit StoreCreation(SegmentFiles& files) : files_(files) {}

  /// Writes the header of the first segment with a random store id, which is returned. Fails with
  /// StorageCorrupt if the files show that there was a store before, since an empty store in its
  /// place would lose acknowledged writes, and with StorageFull if the disk is too small for all
  /// segments.
  Result<std::string> begin(RandomEngine& random);

  /// Writes headers that mark the other files as unused, unless the store already holds records:
  /// all headers are written before the first record, so that a lost file can be told from an
  /// unused one. @p headers are the existing ones, by slot.
  Status finish(const std::string& storeId,
                const std::vector<std::optional<SegmentHeader>>& headers);

 private:
  Status checkDiskHasRoom();
  Result<bool> holdsRecord() const;

  SegmentFiles& files_;
};

}  // namespace shedshed

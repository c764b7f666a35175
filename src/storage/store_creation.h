/// @file
/// Creation of a log-structured store in an empty folder.
#pragma once

#include "kernel/core.h"
#include "storage/segment_files.h"

namespace shedshed {

/// Creates a store in steps that a crash may interrupt anywhere: the header of segment 1 makes the
/// store exist, the headers of the unused files follow before the first record. Used once, before
/// recovery.
class StoreCreation {
 public:
  /// Keeps a reference; it must outlive the object.
  explicit StoreCreation(SegmentFiles& files) : files_(files) {}

  /// Gives the first segment its header and with it the store a random id, which is returned.
  /// StorageCorrupt if anything shows that there was a store here before: an empty store in its
  /// place would forget what it acknowledged. StorageFull if the disk is too small for all
  /// segments.
  Result<std::string> begin(RandomEngine& random);

  /// Gives the other files headers that say "not used yet", unless the store already holds records:
  /// all headers were there before the first record, so that a lost file is told from an unused
  /// one. @p headers are the present ones, by slot.
  Status finish(const std::string& storeId,
                const std::vector<std::optional<SegmentHeader>>& headers);

 private:
  Status checkDiskHasRoom();
  Result<bool> holdsRecord() const;

  SegmentFiles& files_;
};

}  // namespace shedshed

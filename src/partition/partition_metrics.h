/// @file
/// Gauges and log events about all partitions of a store.
#pragma once

#include "kernel/core.h"
#include "partition/repair_progress.h"

#include <cstddef>

namespace shedshed {

/// Publishes the gauges of a store's partitions and disk, and logs `DiskSpaceLow`,
/// `DiskSpaceRecovered` and `OwnedPartitionsChanged`. Core thread only.
class PartitionMetrics {
 public:
  /// Keeps a reference to @p context.
  explicit PartitionMetrics(CoreContext& context) : context_(context) {}

  void publish(std::size_t owned, const RepairProgress& progress);

 private:
  void publishDiskSpace();
  void publishOwned(std::size_t owned);

  CoreContext& context_;
  std::size_t loggedOwned_ = 0;
  bool loggedLowDiskSpace_ = false;
};

}  // namespace shedshed

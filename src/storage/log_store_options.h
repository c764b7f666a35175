/// @file
/// Options of a log-structured store.
#pragma once

#include "kernel/error.h"

#include <cstdint>

namespace shedshed {

/// Options of `LogStructuredStore`. `segmentBytes` and `segmentCount` are fixed when a store is
/// created.
struct LogStoreOptions {
  std::uint64_t segmentBytes = 16 * 1024 * 1024;  ///< Size of each segment file, in bytes.
  std::uint32_t segmentCount = 8;                 ///< At least 3.
  std::uint64_t cachedValueBytes = 1024;          ///< Larger values are read from the disk.
  /// Share of `segmentCount - 2` segments that live records may fill, in percent. The headroom
  /// keeps compaction cheap.
  std::uint32_t livePercent = 75;
  /// For tests only. If false, a segment file is reused without syncing the compacted records
  /// first, so that a test can verify that the crash tests detect the resulting loss.
  bool syncBeforeReuse = true;

  /// Fails with InvalidArgument if a value is out of range.
  Status validate() const;

  /// Size of the largest group that fits into a segment, in bytes.
  std::uint64_t maxPayloadBytes() const;

  /// Limit of the live records, in bytes.
  std::uint64_t maxLiveBytes() const;
};

}  // namespace shedshed

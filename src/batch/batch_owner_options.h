/// @file
/// Sizes and times of the owner of batches.
#pragma once

#include "batch/batch_safeguards.h"
#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// Options of `BatchOwnerCore`, shared by its parts.
struct BatchOwnerOptions {
  /// How long a finished batch can be read. Counted by each owner from the moment that it saw the
  /// batch finished: clocks of two machines are never compared.
  Duration retention = std::chrono::hours(24);
  /// A submission without progress for this long is erased.
  Duration uploadTimeout = std::chrono::seconds(60);
  /// How long a rejected submission is remembered, so that a late duplicate is rejected as well.
  Duration rejectionRetention = std::chrono::minutes(5);
  /// A run without a heartbeat for this long is assigned to another node.
  Duration runTimeout = std::chrono::seconds(6);
  /// Interval of the owner's periodic work.
  Duration tick = std::chrono::milliseconds(500);
  /// Body bytes that one partition takes before it rejects new batches with `StorageFull`.
  std::uint64_t maxPartitionBodyBytes = 512ULL << 20U;
  /// Bound of one page of results or bodies, in bytes of bodies.
  std::uint64_t maxPageBytes = 1U << 20U;
  /// Bound of one page, in items.
  std::uint32_t maxPageItems = 1000;
  /// Rows erased in one write.
  std::uint64_t maxErasedRowsPerWrite = 1000;
  BatchSafeguards safeguards;
};

}  // namespace shedshed

/// @file
/// Limits and durations of the batch owner.
#pragma once

#include "batch/batch_safeguards.h"
#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// Options of `BatchOwnerCore`, shared by its components.
struct BatchOwnerOptions {
  /// How long a finished batch can be read. Each owner measures it from the time at which it
  /// observed the batch to be finished, because clocks of different machines are never compared.
  Duration retention = std::chrono::hours(24);
  /// A submission without progress for this long is erased.
  Duration uploadTimeout = std::chrono::seconds(60);
  /// How long a rejection is remembered, so that a delayed duplicate of the request is rejected
  /// too.
  Duration rejectionRetention = std::chrono::minutes(5);
  /// A run without a heartbeat for this long is reassigned to another node.
  Duration runTimeout = std::chrono::seconds(6);
  /// Interval of the owner's periodic work.
  Duration tick = std::chrono::milliseconds(500);
  /// Body bytes in one partition above which new batches are rejected with `StorageFull`.
  std::uint64_t maxPartitionBodyBytes = 512ULL << 20U;
  /// Limit on the body bytes of one page of results or items.
  std::uint64_t maxPageBytes = 1U << 20U;
  /// Limit on the items of one page.
  std::uint32_t maxPageItems = 1000;
  /// Limit on the rows erased in one write.
  std::uint64_t maxErasedRowsPerWrite = 1000;
  BatchSafeguards safeguards;
};

}  // namespace shedshed

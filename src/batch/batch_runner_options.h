/// @file
/// Sizes and times of the runner of batches.
#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// Options of `BatchRunnerCore`, shared by its parts.
struct BatchRunnerOptions {
  std::uint32_t maxItemsInFlightPerBatch = 16;  ///< Items of one batch in flight at once.
  std::uint32_t maxItemsInFlight = 64;          ///< Items of all batches in flight at once.
  Duration tickInterval = std::chrono::milliseconds(250);
  Duration heartbeatInterval = std::chrono::seconds(1);
  /// Without an acknowledged heartbeat sent within this time no item is started.
  Duration leaseDuration = std::chrono::seconds(3);
  /// An acknowledged start that was requested longer ago than this is reverted and not run: the
  /// batch may have been cancelled since.
  Duration maxStartAge = std::chrono::milliseconds(2500);
  /// Unacknowledged messages to the owner are repeated after this time.
  Duration resendInterval = std::chrono::seconds(1);
  /// Pause after an engine rejected an item without running it, and between two passes.
  Duration retryDelay = std::chrono::seconds(2);
  /// Engine calls for one idempotent item by this runner before its outcome is `Unknown`.
  std::uint32_t maxEngineCallsPerItem = 3;

  /// Items that are fetched from the owner at once.
  std::uint32_t pageSize() const { return 2 * maxItemsInFlightPerBatch; }
};

}  // namespace shedshed

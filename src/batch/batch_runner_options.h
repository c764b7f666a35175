/// @file
/// Options of the batch runner.
#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// Options of `BatchRunnerCore`, shared by its components.
struct BatchRunnerOptions {
  std::uint32_t maxItemsInFlightPerBatch = 16;  ///< Concurrent items of one batch.
  std::uint32_t maxItemsInFlight = 64;          ///< Concurrent items of all batches.
  Duration tickInterval = std::chrono::milliseconds(250);
  Duration heartbeatInterval = std::chrono::seconds(1);
  /// No item starts unless a heartbeat that was sent within this time has been acknowledged.
  Duration leaseDuration = std::chrono::seconds(3);
  /// A start that is acknowledged later than this after its request is reverted and not run,
  /// because the batch may have been cancelled in the meantime.
  Duration maxStartAge = std::chrono::milliseconds(2500);
  /// Unacknowledged messages to the owner are resent after this time.
  Duration resendInterval = std::chrono::seconds(1);
  /// Delay after an engine rejected an item without running it, and between two passes over the
  /// pending items.
  Duration retryDelay = std::chrono::seconds(2);
  /// Engine calls by this runner for one idempotent item before its outcome becomes `Unknown`.
  std::uint32_t maxEngineCallsPerItem = 3;

  /// Number of items requested from the owner in one page.
  std::uint32_t pageSize() const { return 2 * maxItemsInFlightPerBatch; }
};

}  // namespace shedshed

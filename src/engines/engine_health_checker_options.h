/// @file
/// Timing and limits of the engine health checks.
#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// A process that misses this many check intervals has stalled.
inline constexpr int kStallIntervals = 2;

/// Options of the health checker of a node.
struct EngineHealthCheckerOptions {
  Duration checkInterval = std::chrono::seconds(1);
  Duration unreachableTimeout = std::chrono::seconds(2);  ///< Without an answer.
  std::uint32_t checkersPerEngine = 2;
  /// A node continues to check an engine for this long after the engine was assigned to others.
  Duration handoverTime = std::chrono::seconds(3);
  Duration deadCheckerExpiry =
      std::chrono::seconds(5);  ///< Results of a dead node are used this long.

  /// Minimum time between two reports of load changes; also at least `loadReportIntervalPerEngine`
  /// for each listed engine.
  Duration minLoadReportInterval = std::chrono::seconds(1);
  Duration maxLoadReportDelay = std::chrono::seconds(5);  ///< Of a change that is not significant.
  Duration loadReportIntervalPerEngine = std::chrono::milliseconds(20);
  double significantLoadChange = 0.25;  ///< Fraction of `max_running`.
  /// State changes within this time are reported together: a starting data node finds some 17
  /// engines ready within milliseconds.
  Duration reportDelay = std::chrono::milliseconds(20);
  /// Minimum time between two rebuilds of the table; each processes all engines.
  Duration minRebuildInterval = std::chrono::milliseconds(50);

  /// While the results of other nodes are suspected to be stale, a node checks all engines itself,
  /// and continues for this long after the suspicion has ended: by then gossip has caught up.
  Duration verificationTime = std::chrono::seconds(5);
  Duration suspicionInterval = std::chrono::milliseconds(250);  ///< Between checks for a suspicion.
  /// After a process stall the engines are rechecked; the table is fresh again after this time.
  Duration recheckTime = std::chrono::milliseconds(500);

  /// A longer gap between two ticks is a process stall. Also the time for which the table stays
  /// fresh after each tick.
  Duration stallTimeout() const { return kStallIntervals * checkInterval; }
};

}  // namespace shedshed

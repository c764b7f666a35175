/// @file
/// Times and bounds of the engines' health checks.
#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// A process that misses this many check intervals has stalled.
inline constexpr int kStallIntervals = 2;

struct EngineHealthCheckerOptions {
  Duration checkInterval = std::chrono::seconds(1);
  Duration unreachableTimeout = std::chrono::seconds(2);  ///< Without an answer.
  std::uint32_t checkersPerEngine = 2;
  /// A node continues to check an engine for this long after the engine was assigned to others.
  Duration handoverTime = std::chrono::seconds(3);
  Duration deadCheckerExpiry =
      std::chrono::seconds(5);  ///< Results of a dead node count this long.

  /// Between two reports of changed loads; also at least `loadReportIntervalPerEngine` for each
  /// listed engine.
  Duration minLoadReportInterval = std::chrono::seconds(1);
  Duration maxLoadReportDelay = std::chrono::seconds(5);  ///< Of a change that is not notable.
  Duration loadReportIntervalPerEngine = std::chrono::milliseconds(20);
  double significantLoadChange = 0.25;  ///< Part of `max_running`.
  /// States that change within this time are reported together: a data node that starts finds some
  /// 17 engines ready within milliseconds.
  Duration reportDelay = std::chrono::milliseconds(20);
  /// Between two rebuilds of the table, whose cost is that of all engines.
  Duration minRebuildInterval = std::chrono::milliseconds(50);

  /// While the results of other nodes are suspected to be old, a node checks all engines itself,
  /// and continues for this long after the suspicion has ended: by then gossip has caught up.
  Duration verificationTime = std::chrono::seconds(5);
  Duration suspicionInterval = std::chrono::milliseconds(250);  ///< Between checks for a suspicion.
  /// After a stall of the process the table counts again this long after the engines were checked
  /// anew.
  Duration recheckTime = std::chrono::milliseconds(500);

  /// A gap between two ticks from which on the process counts as stalled, and the time for which
  /// the table stays fresh after each tick.
  Duration stallTimeout() const { return kStallIntervals * checkInterval; }
};

}  // namespace shedshed

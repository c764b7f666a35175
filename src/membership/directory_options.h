/// @file
/// Options of the directory.
#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <cstdint>

namespace shedshed {

/// Safeguards that mutation tests disable. All are enabled in every daemon.
struct DirectorySafeguards {
  bool twoMonitors = true;  ///< A death is confirmed only by two monitors.
};

/// Timing and limits of the directory.
struct DirectoryOptions {
  Duration pingInterval = std::chrono::seconds(1);  ///< Also the acknowledgement time-out.
  std::uint32_t missedPingsToSuspect = 2;           ///< Unacknowledged in a row.
  std::uint32_t monitorsPerNode = 3;                ///< Live nodes that ping each node.
  std::uint32_t deadProbeIntervals = 5;  ///< Intervals between probes of dead nodes and seeds.
  Duration deadNodeRetention = std::chrono::hours(1);  ///< A dead node's record is kept this long.
  std::size_t batchBytes = 32768;                      ///< Soft limit of one message of deltas.
  /// An origin pushes a change to this many nodes at most; with more peers, its receivers forward
  /// it.
  std::size_t pushFanout = 24;
  std::size_t forwardFanout = 4;  ///< Nodes to which a receiver forwards a change.
  /// Minimum time between two forwards; changes that arrive within it share a message.
  Duration forwardDelay = std::chrono::milliseconds(20);
  DirectorySafeguards safeguards;
};

}  // namespace shedshed

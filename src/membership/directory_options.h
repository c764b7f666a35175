/// @file
/// Knobs of the directory.
#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <cstdint>

namespace shedshed {

/// Protocol steps that mutation tests switch off. All on in every daemon.
struct DirectorySafeguards {
  bool twoWatchers = true;  ///< A node is dead only when two watchers miss it.
};

/// Times and bounds of the directory.
struct DirectoryOptions {
  Duration pingInterval = std::chrono::seconds(1);  ///< Also the time allowed for an answer.
  std::uint32_t missesToSuspect = 2;                ///< Unanswered pings in a row.
  std::uint32_t watchersPerNode = 3;                ///< Live nodes that ping each node.
  std::uint32_t deadProbeTicks = 5;  ///< Dead nodes and seeds are tried every so many intervals.
  Duration forgetAfter = std::chrono::hours(1);  ///< A dead node's record is kept this long.
  std::size_t batchBytes = 32768;                ///< Soft bound of one message of deltas.
  /// A change goes from its origin to this many nodes at most; with more peers, those that it
  /// reaches pass it on.
  std::size_t directTargets = 24;
  std::size_t forwardTargets = 4;  ///< Nodes to which a change is passed on.
  /// Changes that arrive within this time of each other are passed on together.
  Duration forwardPause = std::chrono::milliseconds(20);
  DirectorySafeguards safeguards;
};

}  // namespace shedshed

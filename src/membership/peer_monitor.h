/// @file
/// The monitoring part of failure detection: which nodes this one pings, and which of them it
/// suspects.
#pragma once

#include "kernel/time.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/membership_messages.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shedshed {

/// Returns the nodes that @p self monitors. The monitors of a node are the first
/// `monitorsPerNode` healthy nodes in rendezvous order for it, and the unhealthy ones that come
/// before them: when a monitor is suspected, the next node starts to monitor before the suspicion
/// is resolved. Each node decides from its own table; no agreement is needed.
std::vector<NodeId> monitoredNodes(const NodeId& self, const NodeTable& table,
                                   std::uint32_t monitorsPerNode);

/// Counts unacknowledged pings. Sends nothing: `startInterval` returns the nodes to ping. Not
/// thread-safe.
class PeerMonitor {
 public:
  explicit PeerMonitor(const DirectoryOptions& options) : options_(options) {}

  /// Evaluates the pings of the last interval and returns the nodes to ping in this one. Dead nodes
  /// are pinged once in `deadProbeIntervals`, so that the end of a network partition is noticed.
  std::vector<NodeId> startInterval(Time now, const NodeId& self,
                                    const std::shared_ptr<const NodeTable>& table);

  /// Number to send in the pings of this interval.
  std::uint64_t pingNumber() const { return interval_; }

  /// Handles the acknowledgement of a ping of the current interval or, if delayed, of an earlier
  /// one.
  void onPong(const NodeId& from, std::uint64_t number);

  /// Resets all counts and suspicions. Used when this node learns that it was itself confirmed
  /// dead: it may have been isolated or stalled, so its suspicions are not reliable.
  void reset();

  /// True if a node that is not confirmed dead left a ping unacknowledged for a whole interval.
  bool hasUnresponsiveNode(const NodeTable& table) const;

  /// Returns the suspicions of this node, sorted by target, if they differ from those returned
  /// last; nullopt otherwise.
  std::optional<std::vector<Suspicion>> takeChangedSuspicions(const NodeTable& table);

 private:
  struct PingState {
    std::optional<std::uint64_t> firstUnacknowledged;  ///< Number of the oldest pending ping.
    std::uint32_t missedPings = 0;                     ///< Unacknowledged pings in a row.
  };

  std::vector<Suspicion> suspicions(const NodeTable& table) const;

  const DirectoryOptions options_;
  std::shared_ptr<const NodeTable>
      monitoredInTable_;  ///< The table that `monitored_` was selected from.
  std::vector<NodeId> monitored_;
  std::map<NodeId, PingState> pingStates_;
  std::vector<Suspicion> takenSuspicions_;  ///< Returned last by `takeChangedSuspicions`.
  std::uint64_t interval_ = 0;              ///< Number of the current interval, from 1.
  Time intervalStart_{};
};

}  // namespace shedshed

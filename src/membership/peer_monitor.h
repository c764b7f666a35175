/// @file
/// This node's duty as a watcher: which nodes it pings, and which of them it misses.
#pragma once

#include "kernel/time.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/membership_messages.h"

#include <map>
#include <memory>
#include <vector>

namespace shedshed {

/// Returns the nodes that @p self watches. The watchers of a node are the first
/// `watchersPerNode` healthy nodes in rendezvous order for it, and the unhealthy ones that come
/// before them: when a watcher is doubted, the next node steps in before the doubt is settled.
/// Each node decides from its own table; no agreement is needed.
std::vector<NodeId> watchedNodes(const NodeId& self, const NodeTable& table,
                                 std::uint32_t watchersPerNode);

/// Counts missed pings. Does not send: `tick` returns whom to ping.
class PeerMonitor {
 public:
  explicit PeerMonitor(const DirectoryOptions& options) : options_(options) {}

  /// Judges the pings of the interval before and returns the nodes to ping now. Dead nodes are
  /// pinged at a slower pace, so that a healed cut is noticed.
  std::vector<NodeId> tick(Time now, const NodeId& self,
                           const std::shared_ptr<const NodeTable>& table);

  /// Number to send in the pings of this interval.
  std::uint64_t pingNumber() const { return tickNumber_; }

  /// An answer to a ping of the current interval or, late, of an earlier one.
  void answered(const NodeId& from, std::uint64_t number);

  /// Forgets all counts. Used when this node learns that it was itself doubted: it may have been
  /// cut off or frozen, so that its findings prove nothing about others.
  void reset() { watches_.clear(); }

  /// True if a node that is not held dead left a ping unanswered for a whole interval.
  bool missesAny(const NodeTable& table) const;

  /// The nodes that this node misses now, sorted.
  std::vector<Suspicion> suspicions(const NodeTable& table) const;

 private:
  struct Watch {
    std::uint64_t firstUnanswered = 0;  ///< Number of the oldest ping without answer; 0 if none.
    std::uint32_t missed = 0;
  };

  const DirectoryOptions options_;
  std::shared_ptr<const NodeTable> watchedOf_;  ///< The table that `watched_` follows from.
  std::vector<NodeId> watched_;
  std::map<NodeId, Watch> watches_;
  std::uint64_t tickNumber_ = 0;
  Time lastTick_{};
};

}  // namespace shedshed

/// @file
/// Decides from the suspicions of all monitors which nodes are suspect and which are confirmed
/// dead.
#pragma once

#include "kernel/time.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/membership_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace shedshed {

/// Keeps suspicions and confirmed deaths. A node is confirmed dead when two monitors that are not
/// dead themselves suspect its current incarnation. Each node decides locally; since the suspicions
/// reach all nodes, all reach the same result. Only a higher incarnation of the node itself refutes
/// a confirmed death. Not thread-safe.
class FailureDetector {
 public:
  explicit FailureDetector(const DirectoryOptions& options) : options_(options) {}

  /// Replaces the suspicions of one monitor.
  void setSuspicions(const NodeId& monitor, std::vector<Suspicion> suspicions);

  /// Sets `state` of each node but @p self. On entry `state` is what the node reports of itself.
  void evaluate(Time now, const NodeId& self, std::vector<NodeInfo>& nodes);

  /// Time at which @p node was confirmed dead; nullopt if it is not.
  std::optional<Time> confirmedDeadSince(const NodeId& node) const;

  /// The nodes that were confirmed dead at @p moment or earlier.
  std::set<NodeId> confirmedDeadBefore(Time moment) const;

  /// Removes the confirmed death of an evicted node, and its suspicions as a monitor.
  void erase(const NodeId& node);

 private:
  struct ConfirmedDeath {
    std::uint64_t incarnation = 0;
    Time since{};
  };
  using Deaths = std::map<NodeId, ConfirmedDeath>;

  void withdraw(const NodeId& monitor);
  /// @return true if a death was confirmed
  bool confirmDeaths(Time now, const NodeId& self, const std::vector<NodeInfo>& nodes);
  /// Number of monitors not in @p dead that suspect the incarnation of @p target or a later one.
  std::size_t countSuspecting(const NodeInfo& target, const Deaths& dead) const;

  const DirectoryOptions options_;
  std::map<NodeId, std::vector<Suspicion>> suspicions_;  ///< By monitor; empty lists are left out.
  /// The same suspicions by target, then monitor, with the highest suspected incarnation. With this
  /// index the cost of an evaluation grows with the number of suspicions, not with the square of
  /// the number of nodes.
  std::map<NodeId, std::map<NodeId, std::uint64_t>> suspectingByTarget_;
  Deaths deaths_;
};

}  // namespace shedshed

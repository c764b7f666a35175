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
/// dead themselves suspect its present incarnation. Each node decides alone; because the suspicions
/// reach all nodes, all come to the same result. Only a higher incarnation of the node itself
/// undoes a confirmed death. Not thread-safe.
class FailureDetector {
 public:
  explicit FailureDetector(const DirectoryOptions& options) : options_(options) {}

  /// Replaces the suspicions of one monitor.
  void setSuspicions(const NodeId& monitor, std::vector<Suspicion> suspicions);

  /// Sets `state` of each node but @p self. On entry `state` is what the node states of itself.
  void evaluate(Time now, const NodeId& self, std::vector<NodeInfo>& nodes);

  /// Time at which @p node was confirmed dead; nullopt if it is not.
  std::optional<Time> confirmedDeadSince(const NodeId& node) const;

  /// The nodes that were confirmed dead at @p moment or earlier.
  std::set<NodeId> confirmedDeadBefore(Time moment) const;

  /// Drops all that concerns a node that is forgotten.
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
  /// Number of monitors without those in @p dead that suspect the incarnation of @p target.
  std::size_t countSuspecting(const NodeInfo& target, const Deaths& dead) const;

  const DirectoryOptions options_;
  std::map<NodeId, std::vector<Suspicion>> suspicions_;  ///< By monitor; empty lists are left out.
  /// The same by target, then monitor, with the highest suspected incarnation: the cost of an
  /// evaluation follows the number of suspicions, not the square of the fleet.
  std::map<NodeId, std::map<NodeId, std::uint64_t>> suspectingByTarget_;
  Deaths deaths_;
};

}  // namespace shedshed

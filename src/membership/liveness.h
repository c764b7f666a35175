/// @file
/// Judges from the watchers' suspicions which nodes are suspect and which are dead.
#pragma once

#include "kernel/time.h"
#include "membership/directory.h"
#include "membership/directory_options.h"
#include "membership/membership_messages.h"

#include <map>
#include <set>
#include <vector>

namespace shedshed {

/// Keeps the verdicts. Each node judges alone; because the suspicions reach all nodes, all come to
/// the same verdict. A verdict is undone only by a higher incarnation of the node itself.
class Liveness {
 public:
  explicit Liveness(const DirectoryOptions& options) : options_(options) {}

  /// Replaces the suspicions of one watcher.
  void setSuspicions(const NodeId& watcher, std::vector<Suspicion> suspicions);

  /// Sets `state` of each node but @p self. On entry `state` is what the node says of itself.
  void judge(Time now, const NodeId& self, std::vector<NodeInfo>& nodes);

  /// Time since which @p node is dead; nullptr if it is not.
  const Time* deadSince(const NodeId& node) const;

  /// The nodes that are dead since @p moment or an earlier one.
  std::set<NodeId> deadBefore(Time moment) const;

  /// Drops a node that is forgotten.
  void erase(const NodeId& node);

 private:
  struct Verdict {
    std::uint64_t incarnation = 0;
    Time since{};
  };
  void withdraw(const NodeId& watcher);
  bool addVerdicts(Time now, const NodeId& self, const std::vector<NodeInfo>& nodes);
  std::size_t accusers(const NodeInfo& target, const std::map<NodeId, Verdict>& dead) const;

  const DirectoryOptions options_;
  std::map<NodeId, std::vector<Suspicion>> suspicions_;  ///< By watcher; empty lists are left out.
  /// The same by target, then watcher, with the highest incarnation doubted: a judgement costs what
  /// is suspected, not the square of the fleet.
  std::map<NodeId, std::map<NodeId, std::uint64_t>> accusations_;
  std::map<NodeId, Verdict> dead_;
};

}  // namespace shedshed

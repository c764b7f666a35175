/// @file
/// This node's own record in the directory, and its incarnation.
#pragma once

#include "membership/directory.h"
#include "membership/gossip_topics.h"

#include <cstdint>

namespace shedshed {

/// The record that this node publishes of itself. Not thread-safe.
///
/// Incarnations rise without a clock or a disk: the upper bits count, the lower ones are random for
/// each run (see incarnation.h). A node that receives a record of itself from an earlier run, or
/// learns that its current incarnation is confirmed dead, takes an incarnation with a higher count.
class LocalNode {
 public:
  /// @p info describes the node; its incarnation and state are set here. @p runTag is random for
  /// each run; only its lower `kRunTagBits` are used.
  LocalNode(NodeInfo info, std::uint64_t runTag);

  const NodeInfo& info() const { return info_; }
  const NodeId& id() const { return info_.id; }
  std::uint64_t incarnation() const { return info_.incarnation; }

  /// Sets whether the node drains.
  /// @return true if that is a change
  bool setDraining(bool draining);

  /// Returns true if a record of this node with the version @p seen was written by another run, so
  /// that this run must take a higher incarnation. @p published is the newest version of this run.
  bool isForeign(const GossipVersion& seen, const GossipVersion& published) const;

  /// Takes an incarnation above @p incarnation.
  void raiseIncarnationAbove(std::uint64_t incarnation);

 private:
  NodeInfo info_;
  const std::uint64_t runTag_;
};

}  // namespace shedshed

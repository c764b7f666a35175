/// @file
/// Selection of the nodes that this node gossips with.
#pragma once

#include "membership/directory.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace shedshed {

/// Returns the nodes of @p table other than @p self, sorted: the confirmed dead ones if @p dead is
/// true, else all others.
std::vector<NodeId> otherNodes(const NodeTable& table, const NodeId& self, bool dead);

/// The seeds, and the gossip peers selected from the current node table. Not thread-safe.
class GossipPeers {
 public:
  /// @p seeds are the nodes through which @p self joins the fleet; @p maxPeers bounds the peers, so
  /// that a node of a large fleet has few connections.
  GossipPeers(NodeId self, std::vector<NodeId> seeds, std::size_t maxPeers);

  /// The seeds without this node.
  const std::vector<NodeId>& seeds() const { return seeds_; }

  /// The live nodes that this one exchanges records with: all of a small fleet, the first
  /// `maxPeers` in rendezvous order of a large one. Valid until the next call.
  const std::vector<NodeId>& live(const std::shared_ptr<const NodeTable>& table);

 private:
  const NodeId self_;
  std::vector<NodeId> seeds_;
  const std::size_t maxPeers_;
  std::shared_ptr<const NodeTable> table_;  ///< The table that `live_` was selected from.
  std::vector<NodeId> live_;
};

}  // namespace shedshed

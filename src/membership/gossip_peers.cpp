#include "membership/gossip_peers.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <utility>

namespace shedshed {

std::vector<NodeId> otherNodes(const NodeTable& table, const NodeId& self, bool dead) {
  std::vector<NodeId> found;
  for (const NodeInfo& node : table.nodes) {
    if (node.id != self && (node.state == NodeState::Dead) == dead) {
      found.push_back(node.id);
    }
  }
  return found;
}

GossipPeers::GossipPeers(NodeId self, std::vector<NodeId> seeds, std::size_t maxPeers)
    : self_(std::move(self)), seeds_(std::move(seeds)), maxPeers_(maxPeers) {
  seeds_.erase(std::remove(seeds_.begin(), seeds_.end(), self_), seeds_.end());
}

const std::vector<NodeId>& GossipPeers::live(const std::shared_ptr<const NodeTable>& table) {
  if (table_ == table) {
    return live_;
  }
  table_ = table;
  live_ = otherNodes(*table, self_, false);
  if (live_.size() > maxPeers_) {
    live_ = rendezvousOrder(self_.address, std::move(live_));
    live_.resize(maxPeers_);
  }
  return live_;
}

}  // namespace shedshed

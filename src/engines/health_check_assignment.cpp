#include "engines/health_check_assignment.h"

#include "kernel/rendezvous.h"

#include <cstdint>

namespace shedshed {

std::vector<NodeId> eligibleCheckers(const NodeTable& nodes) {
  std::vector<NodeId> eligible;
  for (const NodeInfo& node : nodes.nodes) {
    const bool canCheck = node.state == NodeState::Alive || node.state == NodeState::Suspect;
    if (node.role == NodeRole::Data && canCheck) {
      eligible.push_back(node.id);
    }
  }
  return eligible.empty() ? nodes.live(NodeRole::Data) : eligible;
}

std::size_t checkerRank(const std::string& engineId, const NodeId& self,
                        const std::vector<NodeId>& candidates, std::size_t limit) {
  const std::string key = "engine/" + engineId;
  const std::uint64_t ownWeight = rendezvousWeight(key, self.address);
  std::size_t rank = 0;
  for (const NodeId& candidate : candidates) {
    const std::uint64_t weight = rendezvousWeight(key, candidate.address);
    if (weight > ownWeight || (weight == ownWeight && candidate < self)) {
      ++rank;
    }
    if (rank >= limit) {
      break;
    }
  }
  return rank;
}

}  // namespace shedshed

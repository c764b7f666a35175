#include "membership/directory.h"

#include <algorithm>

namespace shedshed {

std::vector<NodeId> NodeTable::live(NodeRole role) const {
  std::vector<NodeId> found;
  for (const NodeInfo& node : nodes) {
    if (node.role == role && node.state != NodeState::Dead) {
      found.push_back(node.id);
    }
  }
  return found;
}

std::vector<NodeId> NodeTable::known(NodeRole role) const {
  std::vector<NodeId> found;
  for (const NodeInfo& node : nodes) {
    if (node.role == role) {
      found.push_back(node.id);
    }
  }
  return found;
}

const NodeInfo* NodeTable::find(const NodeId& id) const {
  const auto found =
      std::lower_bound(nodes.begin(), nodes.end(), id,
                       [](const NodeInfo& node, const NodeId& wanted) { return node.id < wanted; });
  return found != nodes.end() && found->id == id ? &*found : nullptr;
}

}  // namespace shedshed

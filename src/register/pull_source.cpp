#include "register/pull_source.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Pulls after which a node fails back to its preferred control node, which rebalances the load
/// after a failure.
constexpr std::uint32_t kPullsBetweenFailbacks = 20;

}  // namespace

std::optional<NodeId> PullSource::choose() {
  if (pulls_++ % kPullsBetweenFailbacks == 0 || !current_) {
    current_.reset();
    advance();
  }
  return current_;
}

void PullSource::advance() {
  const std::vector<NodeId> nodes = candidates();
  if (nodes.empty()) {
    current_.reset();
    return;
  }
  const auto found = current_ ? std::find(nodes.begin(), nodes.end(), *current_) : nodes.end();
  const bool atEnd = found == nodes.end() || found + 1 == nodes.end();
  current_ = atEnd ? nodes.front() : *(found + 1);
}

std::vector<NodeId> PullSource::candidates() const {
  std::vector<NodeId> nodes;
  if (directory_ != nullptr) {
    const std::shared_ptr<const NodeTable> table = directory_->table();
    for (const NodeInfo& node : table->nodes) {
      if (node.role != NodeRole::Data && node.state != NodeState::Dead) {
        nodes.push_back(node.id);
      }
    }
  }
  if (nodes.empty()) {
    for (const MemberList::Member& member : registers_.knownMembers().list.acceptors) {
      nodes.push_back(member.id);
    }
  }
  nodes = rendezvousOrder(context_.self().address, std::move(nodes));
  for (const NodeId& seed : seeds_) {
    if (std::find(nodes.begin(), nodes.end(), seed) == nodes.end()) {
      nodes.push_back(seed);
    }
  }
  nodes.erase(std::remove(nodes.begin(), nodes.end(), context_.self()), nodes.end());
  return nodes;
}

}  // namespace shedshed

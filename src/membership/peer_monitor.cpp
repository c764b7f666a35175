#include "membership/peer_monitor.h"

#include "kernel/rendezvous.h"

namespace shedshed {

namespace {

/// If an interval starts more than this many ping intervals after the previous one, this node
/// itself was stalled, and missing acknowledgements are not counted.
constexpr int kStallIntervals = 2;

bool isHealthy(const NodeInfo& node) {
  return node.state == NodeState::Alive || node.state == NodeState::Draining;
}

bool isMonitor(const NodeId& self, const NodeInfo& target, const NodeTable& table,
               std::uint32_t monitorsPerNode) {
  const std::string key = "watch/" + target.id.address;
  const std::uint64_t ownWeight = rendezvousWeight(key, self.address);
  std::uint32_t rank = 0;
  for (const NodeInfo& node : table.nodes) {
    if (node.id == self || node.id == target.id || !isHealthy(node)) {
      continue;
    }
    const std::uint64_t weight = rendezvousWeight(key, node.id.address);
    if (weight > ownWeight || (weight == ownWeight && node.id < self)) {
      ++rank;
    }
    if (rank >= monitorsPerNode) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::vector<NodeId> monitoredNodes(const NodeId& self, const NodeTable& table,
                                   std::uint32_t monitorsPerNode) {
  std::vector<NodeId> monitored;
  for (const NodeInfo& target : table.nodes) {
    if (target.id != self && isMonitor(self, target, table, monitorsPerNode)) {
      monitored.push_back(target.id);
    }
  }
  return monitored;
}

std::vector<NodeId> PeerMonitor::startInterval(Time now, const NodeId& self,
                                               const std::shared_ptr<const NodeTable>& table) {
  const bool stalled =
      interval_ > 0 && now - intervalStart_ > kStallIntervals * options_.pingInterval;
  intervalStart_ = now;
  ++interval_;
  if (monitoredInTable_ != table) {
    monitoredInTable_ = table;
    monitored_ = monitoredNodes(self, *table, options_.monitorsPerNode);
  }
  std::map<NodeId, PingState> next;
  std::vector<NodeId> toPing;
  for (const NodeId& target : monitored_) {
    PingState state = pingStates_[target];
    if (state.firstUnacknowledged && !stalled) {
      ++state.missedPings;
    }
    const bool dead = table->find(target)->state == NodeState::Dead;
    if (!dead || interval_ % options_.deadProbeIntervals == 0) {
      toPing.push_back(target);
      if (!state.firstUnacknowledged) {
        state.firstUnacknowledged = interval_;
      }
    }
    next[target] = state;
  }
  pingStates_ = std::move(next);
  return toPing;
}

void PeerMonitor::onPong(const NodeId& from, std::uint64_t number) {
  const auto state = pingStates_.find(from);
  // An acknowledgement of a ping older than the pending ones does not show that the node responds
  // now.
  if (state == pingStates_.end() || !state->second.firstUnacknowledged ||
      number < *state->second.firstUnacknowledged) {
    return;
  }
  state->second = PingState{};
}

bool PeerMonitor::hasUnresponsiveNode(const NodeTable& table) const {
  for (const auto& [node, state] : pingStates_) {
    const NodeInfo* target = table.find(node);
    if (state.missedPings > 0 && target != nullptr && target->state != NodeState::Dead) {
      return true;
    }
  }
  return false;
}

void PeerMonitor::reset() {
  pingStates_.clear();
  takenSuspicions_.clear();
}

std::optional<std::vector<Suspicion>> PeerMonitor::takeChangedSuspicions(const NodeTable& table) {
  std::vector<Suspicion> current = suspicions(table);
  if (current == takenSuspicions_) {
    return std::nullopt;
  }
  takenSuspicions_ = current;
  return current;
}

std::vector<Suspicion> PeerMonitor::suspicions(const NodeTable& table) const {
  std::vector<Suspicion> suspicions;
  for (const auto& [node, state] : pingStates_) {
    const NodeInfo* target = table.find(node);
    if (target != nullptr && state.missedPings >= options_.missedPingsToSuspect) {
      suspicions.push_back({target->id, target->incarnation});
    }
  }
  return suspicions;
}

}  // namespace shedshed

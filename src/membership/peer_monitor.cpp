#include "membership/peer_monitor.h"

#include "kernel/rendezvous.h"

namespace shedshed {

namespace {

/// A tick that comes this many intervals late means that this node itself stood still.
constexpr int kFrozenIntervals = 2;

bool isHealthy(const NodeInfo& node) {
  return node.state == NodeState::Alive || node.state == NodeState::Draining;
}

bool isWatcher(const NodeId& self, const NodeInfo& target, const NodeTable& table,
               std::uint32_t watchersPerNode) {
  const std::string key = "watch/" + target.id.address;
  const std::uint64_t ownWeight = rendezvousWeight(key, self.address);
  std::uint32_t before = 0;
  for (const NodeInfo& node : table.nodes) {
    if (node.id == self || node.id == target.id || !isHealthy(node)) {
      continue;
    }
    const std::uint64_t weight = rendezvousWeight(key, node.id.address);
    if (weight > ownWeight || (weight == ownWeight && node.id < self)) {
      ++before;
    }
    if (before >= watchersPerNode) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::vector<NodeId> watchedNodes(const NodeId& self, const NodeTable& table,
                                 std::uint32_t watchersPerNode) {
  std::vector<NodeId> watched;
  for (const NodeInfo& target : table.nodes) {
    if (target.id != self && isWatcher(self, target, table, watchersPerNode)) {
      watched.push_back(target.id);
    }
  }
  return watched;
}

std::vector<NodeId> PeerMonitor::tick(Time now, const NodeId& self,
                                      const std::shared_ptr<const NodeTable>& table) {
  const bool stoodStill =
      tickNumber_ > 0 && now - lastTick_ > kFrozenIntervals * options_.pingInterval;
  lastTick_ = now;
  ++tickNumber_;
  if (watchedOf_ != table) {
    watchedOf_ = table;
    watched_ = watchedNodes(self, *table, options_.watchersPerNode);
  }
  std::map<NodeId, Watch> kept;
  std::vector<NodeId> toPing;
  for (const NodeId& target : watched_) {
    Watch watch = watches_[target];
    if (watch.firstUnanswered != 0 && !stoodStill) {
      ++watch.missed;
    }
    const bool dead = table->find(target)->state == NodeState::Dead;
    if (!dead || tickNumber_ % options_.deadProbeTicks == 0) {
      toPing.push_back(target);
      if (watch.firstUnanswered == 0) {
        watch.firstUnanswered = tickNumber_;
      }
    }
    kept[target] = watch;
  }
  watches_ = std::move(kept);
  return toPing;
}

void PeerMonitor::answered(const NodeId& from, std::uint64_t number) {
  const auto watch = watches_.find(from);
  // An answer to a ping older than the unanswered ones says nothing about the present.
  if (watch == watches_.end() || watch->second.firstUnanswered == 0 ||
      number < watch->second.firstUnanswered) {
    return;
  }
  watch->second = Watch{};
}

bool PeerMonitor::missesAny(const NodeTable& table) const {
  for (const auto& watch : watches_) {
    const NodeInfo* target = table.find(watch.first);
    if (watch.second.missed > 0 && target != nullptr && target->state != NodeState::Dead) {
      return true;
    }
  }
  return false;
}

std::vector<Suspicion> PeerMonitor::suspicions(const NodeTable& table) const {
  std::vector<Suspicion> missed;
  for (const auto& watch : watches_) {
    const NodeInfo* target = table.find(watch.first);
    if (target != nullptr && watch.second.missed >= options_.missesToSuspect) {
      missed.push_back({target->id, target->incarnation});
    }
  }
  return missed;
}

}  // namespace shedshed

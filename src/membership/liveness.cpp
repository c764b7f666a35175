#include "membership/liveness.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Accusers needed for a dead verdict, where the fleet has that many.
constexpr std::size_t kAccusersNeeded = 2;

}  // namespace

void Liveness::setSuspicions(const NodeId& watcher, std::vector<Suspicion> suspicions) {
  withdraw(watcher);
  if (suspicions.empty()) {
    return;
  }
  for (const Suspicion& suspicion : suspicions) {
    std::uint64_t& incarnation = accusations_[suspicion.target][watcher];
    incarnation = std::max(incarnation, suspicion.incarnation);
  }
  suspicions_[watcher] = std::move(suspicions);
}

void Liveness::withdraw(const NodeId& watcher) {
  const auto former = suspicions_.find(watcher);
  if (former == suspicions_.end()) {
    return;
  }
  for (const Suspicion& suspicion : former->second) {
    const auto target = accusations_.find(suspicion.target);
    if (target == accusations_.end()) {
      continue;
    }
    target->second.erase(watcher);
    if (target->second.empty()) {
      accusations_.erase(target);
    }
  }
  suspicions_.erase(former);
}

void Liveness::judge(Time now, const NodeId& self, std::vector<NodeInfo>& nodes) {
  for (const NodeInfo& node : nodes) {
    const auto verdict = dead_.find(node.id);
    if (verdict != dead_.end() && node.incarnation > verdict->second.incarnation) {
      dead_.erase(verdict);
    }
  }
  // Each new verdict may lower the number of accusers that are possible at all.
  while (addVerdicts(now, self, nodes)) {
  }
  for (NodeInfo& node : nodes) {
    if (node.id == self) {
      continue;
    }
    if (dead_.count(node.id) != 0) {
      node.state = NodeState::Dead;
    } else if (node.state == NodeState::Alive && accusers(node, dead_) > 0) {
      node.state = NodeState::Suspect;
    }
  }
}

bool Liveness::addVerdicts(Time now, const NodeId& self, const std::vector<NodeInfo>& nodes) {
  const std::map<NodeId, Verdict> before = dead_;
  const std::size_t possibleAccusers = nodes.size() - before.size() - 1;
  const std::size_t wanted = options_.safeguards.twoWatchers ? kAccusersNeeded : 1;
  const std::size_t needed = std::max<std::size_t>(1, std::min(wanted, possibleAccusers));
  for (const NodeInfo& node : nodes) {
    if (node.id != self && before.count(node.id) == 0 && accusers(node, before) >= needed) {
      dead_.emplace(node.id, Verdict{node.incarnation, now});
    }
  }
  return dead_.size() > before.size();
}

std::size_t Liveness::accusers(const NodeInfo& target,
                               const std::map<NodeId, Verdict>& dead) const {
  const auto accused = accusations_.find(target.id);
  if (accused == accusations_.end()) {
    return 0;
  }
  std::size_t count = 0;
  for (const auto& [watcher, incarnation] : accused->second) {
    // What a dead watcher said last may be the echo of its own isolation.
    const bool counts = watcher != target.id && dead.count(watcher) == 0;
    count += counts && incarnation >= target.incarnation ? 1 : 0;
  }
  return count;
}

const Time* Liveness::deadSince(const NodeId& node) const {
  const auto verdict = dead_.find(node);
  return verdict == dead_.end() ? nullptr : &verdict->second.since;
}

std::set<NodeId> Liveness::deadBefore(Time moment) const {
  std::set<NodeId> dead;
  for (const auto& verdict : dead_) {
    if (verdict.second.since <= moment) {
      dead.insert(verdict.first);
    }
  }
  return dead;
}

void Liveness::erase(const NodeId& node) {
  withdraw(node);
  dead_.erase(node);
}

}  // namespace shedshed

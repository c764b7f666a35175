#include "membership/failure_detector.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Number of suspecting monitors that confirms a death, if the fleet has that many.
constexpr std::size_t kSuspicionQuorum = 2;

}  // namespace

void FailureDetector::setSuspicions(const NodeId& monitor, std::vector<Suspicion> suspicions) {
  withdraw(monitor);
  if (suspicions.empty()) {
    return;
  }
  for (const Suspicion& suspicion : suspicions) {
    std::uint64_t& incarnation = suspectingByTarget_[suspicion.target][monitor];
    incarnation = std::max(incarnation, suspicion.incarnation);
  }
  suspicions_[monitor] = std::move(suspicions);
}

void FailureDetector::withdraw(const NodeId& monitor) {
  const auto previous = suspicions_.find(monitor);
  if (previous == suspicions_.end()) {
    return;
  }
  for (const Suspicion& suspicion : previous->second) {
    const auto target = suspectingByTarget_.find(suspicion.target);
    if (target == suspectingByTarget_.end()) {
      continue;
    }
    target->second.erase(monitor);
    if (target->second.empty()) {
      suspectingByTarget_.erase(target);
    }
  }
  suspicions_.erase(previous);
}

void FailureDetector::evaluate(Time now, const NodeId& self, std::vector<NodeInfo>& nodes) {
  for (const NodeInfo& node : nodes) {
    const auto death = deaths_.find(node.id);
    if (death != deaths_.end() && node.incarnation > death->second.incarnation) {
      deaths_.erase(death);
    }
  }
  // Each confirmed death reduces the number of possible monitors and may lower the quorum.
  while (confirmDeaths(now, self, nodes)) {
  }
  for (NodeInfo& node : nodes) {
    if (node.id == self) {
      continue;
    }
    if (deaths_.count(node.id) != 0) {
      node.state = NodeState::Dead;
    } else if (node.state == NodeState::Alive && countSuspecting(node, deaths_) > 0) {
      node.state = NodeState::Suspect;
    }
  }
}

bool FailureDetector::confirmDeaths(Time now, const NodeId& self,
                                    const std::vector<NodeInfo>& nodes) {
  const Deaths before = deaths_;
  const std::size_t possibleMonitors = nodes.size() - before.size() - 1;
  const std::size_t quorum = options_.safeguards.twoMonitors ? kSuspicionQuorum : 1;
  const std::size_t needed = std::max<std::size_t>(1, std::min(quorum, possibleMonitors));
  for (const NodeInfo& node : nodes) {
    if (node.id != self && before.count(node.id) == 0 && countSuspecting(node, before) >= needed) {
      deaths_.emplace(node.id, ConfirmedDeath{node.incarnation, now});
    }
  }
  return deaths_.size() > before.size();
}

std::size_t FailureDetector::countSuspecting(const NodeInfo& target, const Deaths& dead) const {
  const auto suspecting = suspectingByTarget_.find(target.id);
  if (suspecting == suspectingByTarget_.end()) {
    return 0;
  }
  std::size_t count = 0;
  for (const auto& [monitor, incarnation] : suspecting->second) {
    // The last suspicions of a dead monitor may result from its own isolation.
    const bool counts = monitor != target.id && dead.count(monitor) == 0;
    count += counts && incarnation >= target.incarnation ? 1 : 0;
  }
  return count;
}

std::optional<Time> FailureDetector::confirmedDeadSince(const NodeId& node) const {
  const auto death = deaths_.find(node);
  return death == deaths_.end() ? std::nullopt : std::make_optional(death->second.since);
}

std::set<NodeId> FailureDetector::confirmedDeadBefore(Time moment) const {
  std::set<NodeId> dead;
  for (const auto& death : deaths_) {
    if (death.second.since <= moment) {
      dead.insert(death.first);
    }
  }
  return dead;
}

void FailureDetector::erase(const NodeId& node) {
  withdraw(node);
  deaths_.erase(node);
}

}  // namespace shedshed

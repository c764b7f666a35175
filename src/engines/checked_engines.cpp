#include "engines/checked_engines.h"

#include "engines/health_check_assignment.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shedshed {

bool CheckedEngines::assign(const EngineListing& listing, const NodeId& self,
                            const std::vector<NodeId>& checkers, bool verifyAll, Time now) {
  std::map<std::string, CheckedEngine> next;
  for (const ListedEngine& engine : listing.engines) {
    const std::size_t rank = checkerRank(engine.id, self, checkers, options_.checkersPerEngine);
    const bool assigned = rank < options_.checkersPerEngine;
    const auto previous = engines_.find(engine.id);
    const bool same = previous != engines_.end() && previous->second.address == engine.address;
    const bool inHandover = same && now - previous->second.lastAssigned < options_.handoverTime;
    if (!assigned && !inHandover && !verifyAll) {
      continue;
    }
    CheckedEngine checked = same ? previous->second : CheckedEngine();
    if (!same) {
      checked.address = engine.address;
      checked.lastAnswer = now;
    }
    checked.maxRunning = engine.maxRunning;
    checked.primaryChecker = rank == 0;
    checked.shared = assigned || inHandover;
    checked.lastAssigned = assigned ? now : checked.lastAssigned;
    next.emplace(engine.id, std::move(checked));
  }
  const bool shrunk = std::any_of(engines_.begin(), engines_.end(), [&](const auto& previous) {
    return next.count(previous.first) == 0;
  });
  engines_ = std::move(next);
  return shrunk;
}

std::vector<CheckedEngines::Target> CheckedEngines::targets() const {
  std::vector<Target> targets;
  for (const auto& [id, engine] : engines_) {
    targets.push_back({id, engine.address});
  }
  return targets;
}

bool CheckedEngines::recordHealth(const Target& target, std::uint64_t number,
                                  const EngineHealth& health, Time now) {
  const auto found = engines_.find(target.id);
  if (found == engines_.end() || found->second.address != target.address) {
    return false;
  }
  CheckedEngine& engine = found->second;
  if (!health.reachable || number <= engine.newestAnswer) {
    return false;
  }
  engine.newestAnswer = number;
  engine.lastAnswer = now;
  engine.running = health.running;
  const EngineState state = health.draining ? EngineState::Draining : EngineState::Ready;
  const bool changed = state != engine.state;
  engine.state = state;
  return changed;
}

bool CheckedEngines::markUnreachable(Time now) {
  bool changed = false;
  for (auto& [id, engine] : engines_) {
    const bool unreachable = now - engine.lastAnswer >= options_.unreachableTimeout;
    if (unreachable && engine.state != EngineState::Gone) {
      engine.state = EngineState::Gone;
      engine.running = 0;
      changed = true;
    }
  }
  return changed;
}

bool CheckedEngines::loadReportDue(Duration sinceLastReport, std::size_t listedEngines) const {
  const Duration fleetInterval =
      options_.loadReportIntervalPerEngine * static_cast<std::int64_t>(listedEngines);
  if (sinceLastReport < std::max(options_.minLoadReportInterval, fleetInterval)) {
    return false;
  }
  const bool overdue = sinceLastReport >= std::max(options_.maxLoadReportDelay, fleetInterval);
  return std::any_of(engines_.begin(), engines_.end(), [&](const auto& entry) {
    const CheckedEngine& engine = entry.second;
    const double change = std::abs(static_cast<double>(engine.running) - engine.reportedRunning);
    const bool significant = change > options_.significantLoadChange * engine.maxRunning;
    return engine.primaryChecker && change > 0 && (overdue || significant);
  });
}

CheckedEngines::Reports CheckedEngines::report() {
  Reports reports;
  for (auto& [id, engine] : engines_) {
    if (engine.state == EngineState::Unknown) {
      continue;
    }
    engine.reportedRunning = engine.running;
    EngineHealthReport& report = engine.shared ? reports.shared : reports.own;
    report.results.push_back({id, engineAddressTag(engine.address), engine.state, engine.running});
  }
  return reports;
}

}  // namespace shedshed

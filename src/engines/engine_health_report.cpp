#include "engines/engine_health_report.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <string_view>

namespace shedshed {

namespace {

/// Precedence of a state in a merge; the highest wins.
int precedence(EngineState state) {
  switch (state) {
  case EngineState::Draining:
    return 3;
  case EngineState::Ready:
    return 2;
  case EngineState::Gone:
    return 1;
  case EngineState::Unknown:
    break;
  }
  return 0;
}

/// Merged results of one engine.
struct MergedResult {
  EngineState state = EngineState::Unknown;
  std::uint32_t running = 0;

  void add(const EngineHealthCheckResult& result) {
    if (precedence(result.state) > precedence(state)) {
      state = result.state;
    }
    running = std::max(running, result.running);
  }
};

/// Id and address tag.
using EngineKey = std::pair<std::string_view, std::uint32_t>;
using MergedById = std::map<EngineKey, MergedResult>;

MergedResult findMerged(const MergedById& merged, const EngineKey& key) {
  const auto found = merged.find(key);
  return found == merged.end() ? MergedResult() : found->second;
}

void addReport(const EngineHealthReport& report, MergedById& merged) {
  for (const EngineHealthCheckResult& result : report.results) {
    merged[{result.id, result.addressTag}].add(result);
  }
}

}  // namespace

std::uint32_t engineAddressTag(const std::string& address) {
  return static_cast<std::uint32_t>(hash64(address));
}

void EngineHealthReports::set(const NodeId& checker, EngineHealthReport report) {
  if (report.results.empty()) {
    entries_.erase(checker);
    return;
  }
  entries_[checker].report = std::move(report);
}

bool EngineHealthReports::setDead(const NodeId& checker, bool dead, Time now) {
  const auto found = entries_.find(checker);
  if (found == entries_.end() || found->second.dead == dead) {
    return false;
  }
  found->second.dead = dead;
  found->second.deadSince = now;
  return true;
}

bool EngineHealthReports::expire(Time now, Duration expiry) {
  bool dropped = false;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (entry->second.dead && now - entry->second.deadSince >= expiry) {
      entry = entries_.erase(entry);
      dropped = true;
    } else {
      ++entry;
    }
  }
  return dropped;
}

EngineTable EngineHealthReports::merge(const EngineListing& listing) const {
  MergedById live;
  MergedById dead;
  for (const auto& entry : entries_) {
    addReport(entry.second.report, entry.second.dead ? dead : live);
  }
  addReport(own_, live);
  EngineTable table;
  table.engines.reserve(listing.engines.size());
  for (const ListedEngine& engine : listing.engines) {
    const EngineKey key(engine.id, engineAddressTag(engine.address));
    MergedResult merged = findMerged(live, key);
    if (merged.state == EngineState::Unknown) {
      merged = findMerged(dead, key);
    }
    if (engine.draining && merged.state == EngineState::Ready) {
      merged.state = EngineState::Draining;
    }
    table.engines.push_back(
        {engine.id, engine.address, engine.model, engine.maxRunning, merged.running, merged.state});
  }
  return table;
}

}  // namespace shedshed

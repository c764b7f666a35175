#include "engines/engine_health_report.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <string_view>

namespace shedshed {

namespace {

/// Precedence in a merge.
int rank(EngineState state) {
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

/// Merged findings about one engine.
struct Merged {
  EngineState state = EngineState::Unknown;
  std::uint32_t running = 0;

  void add(const EngineFinding& finding) {
    if (rank(finding.state) > rank(state)) {
      state = finding.state;
    }
    running = std::max(running, finding.running);
  }
};

/// Id and address tag.
using EngineKey = std::pair<std::string_view, std::uint32_t>;
using MergedById = std::map<EngineKey, Merged>;

Merged findMerged(const MergedById& merged, const EngineKey& key) {
  const auto found = merged.find(key);
  return found == merged.end() ? Merged() : found->second;
}

void addReport(const EngineReport& report, MergedById& merged) {
  for (const EngineFinding& finding : report.findings) {
    merged[{finding.id, finding.addressTag}].add(finding);
  }
}

}  // namespace

std::uint32_t engineAddressTag(const std::string& address) {
  return static_cast<std::uint32_t>(hash64(address));
}

void EngineReports::set(const NodeId& watcher, EngineReport report) {
  if (report.findings.empty()) {
    entries_.erase(watcher);
    return;
  }
  entries_[watcher].report = std::move(report);
}

bool EngineReports::setDead(const NodeId& watcher, bool dead, Time now) {
  const auto found = entries_.find(watcher);
  if (found == entries_.end() || found->second.dead == dead) {
    return false;
  }
  found->second.dead = dead;
  found->second.deadSince = now;
  return true;
}

bool EngineReports::expire(Time now, Duration expiry) {
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

EngineTable EngineReports::merge(const EngineListing& listing) const {
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
    Merged merged = findMerged(live, key);
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

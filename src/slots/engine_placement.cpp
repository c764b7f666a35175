#include "slots/engine_placement.h"

#include "slots/pool_rates.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Number of holders added to the load of an engine in another zone.
constexpr double kOtherZonePenalty = 1.0;

/// Returns whether the calls of @p pool's holders may run on @p engine.
bool serves(const EngineInfo& engine, const PoolName& pool) {
  // The owner of a tenant's pool sees only some of an engine's calls, and not the model they
  // request.
  const bool knowsLoad = pool.limiter == kServiceLimiter || pool.limiter == kBatchLimiter;
  return knowsLoad && engine.state == EngineState::Ready && engine.model == pool.key;
}

}  // namespace

std::string EnginePlacement::suggest(const EngineTable& table, const PoolName& pool,
                                     const std::string& zone, std::uint64_t random) const {
  const std::size_t count = table.engines.size();
  const EngineInfo* best = nullptr;
  double bestLoad = 0;
  for (std::size_t step = 0; step < count; ++step) {
    const EngineInfo& engine = table.engines[(random + step) % count];
    if (!serves(engine, pool)) {
      continue;
    }
    const auto known = holders_.find(engine.id);
    double load = known == holders_.end() ? 0 : known->second;
    load += zone.empty() || engine.zone == zone ? 0 : kOtherZonePenalty;
    load /= std::max(engine.maxRunning, 1U);
    if (best == nullptr || load < bestLoad) {
      best = &engine;
      bestLoad = load;
    }
  }
  return best == nullptr ? std::string() : best->id;
}

void EnginePlacement::addHolder(const std::string& engine) {
  if (!engine.empty()) {
    ++holders_[engine];
  }
}

void EnginePlacement::removeHolder(const std::string& engine) {
  const auto known = holders_.find(engine);
  if (known != holders_.end() && --known->second == 0) {
    holders_.erase(known);
  }
}

}  // namespace shedshed

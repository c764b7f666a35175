#include "serving/router.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

const EngineInfo& rendezvousEngine(const std::vector<const EngineInfo*>& candidates,
                                   BlockHash block) {
  const std::string key = std::to_string(block);
  const auto hasLowerWeight = [&key](const EngineInfo* left, const EngineInfo* right) {
    return rendezvousWeight(key, left->id) < rendezvousWeight(key, right->id);
  };
  return **std::max_element(candidates.begin(), candidates.end(), hasLowerWeight);
}

}  // namespace

Result<RouteChoice> Router::choose(const EngineTable& table, const RouteQuery& query, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto servesModel = [&query](const EngineInfo& engine) {
    return engine.model == query.model;
  };
  if (std::none_of(table.engines.begin(), table.engines.end(), servesModel)) {
    return makeError(ErrorCode::NotFound, "no such model: " + query.model);
  }
  const Candidates candidates = usableEngines(table, query, now);
  if (candidates.empty()) {
    return makeError(ErrorCode::NoEngine, "no ready engine for the model");
  }
  const EngineInfo* cached = longestPrefixEngine(candidates, query);
  const EngineInfo& preferred =
      cached != nullptr ? *cached : rendezvousEngine(candidates, query.prompt.front());
  const EngineInfo& chosen = applyLoadBound(candidates, preferred, query.loadBound);
  EngineStatus& status = engineStatuses_[chosen.id];
  ++status.inFlight;
  status.breaker.onStarted(now);
  recordPrompt(query.prompt, chosen.id, &chosen != &preferred);
  return RouteChoice{chosen.id, chosen.address};
}

void Router::recordPrompt(const std::vector<BlockHash>& prompt, const std::string& engine,
                          bool spilledOver) {
  for (const BlockHash block : prompt) {
    if (!spilledOver || prefixes_.find(block) == nullptr) {
      prefixes_.put(block, engine);
    }
  }
}

void Router::finish(const std::string& engine, ExchangeOutcome outcome, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EngineStatus& status = engineStatuses_[engine];
  if (status.inFlight > 0) {
    --status.inFlight;
  }
  switch (outcome) {
  case ExchangeOutcome::Healthy:
    status.breaker.onSucceeded();
    break;
  case ExchangeOutcome::Faulty:
    status.breaker.onFailed(now);
    break;
  case ExchangeOutcome::Inconclusive:
    status.breaker.onInconclusive();
    break;
  }
}

Router::Candidates Router::usableEngines(const EngineTable& table, const RouteQuery& query,
                                         Time now) {
  Candidates candidates;
  for (const EngineInfo& engine : table.engines) {
    const bool usable = engine.model == query.model && engine.state == EngineState::Ready &&
                        query.excluded.count(engine.id) == 0;
    if (usable && engineStatuses_[engine.id].breaker.allows(now)) {
      candidates.push_back(&engine);
    }
  }
  return candidates;
}

const EngineInfo* Router::longestPrefixEngine(const Candidates& candidates,
                                              const RouteQuery& query) {
  for (auto block = query.prompt.rbegin(); block != query.prompt.rend(); ++block) {
    const std::string* engine = prefixes_.find(*block);
    if (engine == nullptr) {
      continue;
    }
    for (const EngineInfo* candidate : candidates) {
      if (candidate->id == *engine) {
        return candidate;
      }
    }
  }
  return nullptr;
}

std::uint32_t Router::engineLoad(const EngineInfo& engine) {
  return engineStatuses_[engine.id].inFlight + engine.running;
}

const EngineInfo& Router::applyLoadBound(const Candidates& candidates, const EngineInfo& preferred,
                                         double bound) {
  double total = 0;
  const EngineInfo* leastLoaded = &preferred;
  for (const EngineInfo* candidate : candidates) {
    total += engineLoad(*candidate);
    if (engineLoad(*candidate) < engineLoad(*leastLoaded)) {
      leastLoaded = candidate;
    }
  }
  const double mean = total / static_cast<double>(candidates.size());
  return engineLoad(preferred) > bound * mean + 1 ? *leastLoaded : preferred;
}

}  // namespace shedshed

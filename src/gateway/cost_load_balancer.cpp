#include "gateway/cost_load_balancer.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Maximum number of tracked prefixes; beyond it, all are dropped.
constexpr std::size_t kMaxPrefixes = 20000;

/// Returns the engine that all nodes prefer for a prefix, by rendezvous hashing.
std::string preferredEngine(const std::vector<const EngineInfo*>& candidates, std::uint64_t hash) {
  const std::string key = "prefix/" + std::to_string(hash);
  const EngineInfo* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (const EngineInfo* candidate : candidates) {
    const std::uint64_t weight = rendezvousWeight(key, candidate->id);
    if (best == nullptr || weight > bestWeight) {
      best = candidate;
      bestWeight = weight;
    }
  }
  return best == nullptr ? std::string() : best->id;
}

}  // namespace

CostLoadBalancer::CostLoadBalancer(std::string zone, RandomEngine& random, LoadBalancerCosts costs)
    : zone_(std::move(zone)), random_(random), costs_(costs) {}

std::vector<CostLoadBalancer::Prefix> CostLoadBalancer::sharedPrefixes(const PromptHints& prompt) {
  std::vector<Prefix> prefixes;
  std::string chain;
  std::uint32_t tokens = 0;
  for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
    chain += prompt.parts[index].id;
    chain += '/';
    tokens += prompt.parts[index].tokens;
    prefixes.push_back({hash64(chain), tokens});
  }
  return prefixes;
}

double CostLoadBalancer::cachedTokens(const EngineInfo& engine, const std::vector<Prefix>& prefixes,
                                      const std::string& preferred, Time now) const {
  for (auto prefix = prefixes.rbegin(); prefix != prefixes.rend(); ++prefix) {
    const auto known = prefixUses_.find(prefix->hash);
    if (known == prefixUses_.end()) {
      continue;
    }
    const auto lastUse = known->second.find(engine.id);
    if (lastUse != known->second.end() && now - lastUse->second < costs_.prefixCacheTtl) {
      return prefix->tokens;
    }
  }
  const bool isExpected = engine.id == preferred && !prefixes.empty();
  return isExpected ? costs_.prefixHitProbability * prefixes.back().tokens : 0;
}

double CostLoadBalancer::cost(const EngineInfo& engine, double uncachedTokens, Time now) const {
  double cost = uncachedTokens * costs_.uncachedTokenMilliseconds;
  if (!zone_.empty() && engine.zone != zone_) {
    cost += costs_.otherZoneMilliseconds;
  }
  const auto found = engineLoads_.find(engine.id);
  if (found == engineLoads_.end()) {
    return cost;
  }
  cost += found->second.inFlight * costs_.callInFlightMilliseconds;
  cost += now < found->second.rejectedUntil ? costs_.afterRejectionMilliseconds : 0;
  cost += now < found->second.failedUntil ? costs_.afterFailureMilliseconds : 0;
  // A host that loses power does not reset its connections; only the age of the oldest unanswered
  // call reveals the failure.
  const auto& pendingResponses = found->second.pendingResponses;
  const bool unresponsive = !pendingResponses.empty() &&
                            now - pendingResponses.begin()->second > costs_.unresponsiveAfter;
  cost += unresponsive ? costs_.unresponsiveMilliseconds : 0;
  return cost;
}

Result<EngineChoice> CostLoadBalancer::choose(const EngineTable& table, const OpaqueCall& call,
                                              const std::set<std::string>& excluded, Time now) {
  std::vector<const EngineInfo*> candidates;
  for (const EngineInfo& engine : table.engines) {
    if (engine.model == call.service && engine.state == EngineState::Ready) {
      candidates.push_back(&engine);
    }
  }
  const std::vector<Prefix> prefixes = sharedPrefixes(call.prompt);
  const bool hasAffinity =
      !prefixes.empty() && prefixes.back().tokens >= costs_.minSharedPrefixTokens;
  // Chosen among all ready engines, so that exclusions on a retry do not change the preference.
  const std::string preferred =
      hasAffinity ? preferredEngine(candidates, prefixes.back().hash) : std::string();
  const EngineInfo* best = nullptr;
  double bestCost = 0;
  for (const EngineInfo* candidate : candidates) {
    if (excluded.count(candidate->id) != 0) {
      continue;
    }
    const double cached = hasAffinity ? cachedTokens(*candidate, prefixes, preferred, now) : 0;
    const double uncached = hasAffinity ? prefixes.back().tokens - cached : 0;
    const double jitter = static_cast<double>(random_() % 1024) / 1024;
    const bool notSuggested =
        !call.suggestedEngine.empty() && candidate->id != call.suggestedEngine;
    const double candidateCost = cost(*candidate, uncached, now) + jitter +
                                 (notSuggested ? costs_.notSuggestedMilliseconds : 0);
    if (best == nullptr || candidateCost < bestCost) {
      best = candidate;
      bestCost = candidateCost;
    }
  }
  if (best == nullptr) {
    return makeError(ErrorCode::NoEngine, "no engine of the service is ready");
  }
  ++engineLoads_[best->id].inFlight;
  return EngineChoice{best->id, best->address};
}

std::uint64_t CostLoadBalancer::onSent(const std::string& engine, Time now) {
  engineLoads_[engine].pendingResponses[++lastRequestNumber_] = now;
  return lastRequestNumber_;
}

void CostLoadBalancer::onAnswered(const std::string& engine, std::uint64_t requestNumber) {
  engineLoads_[engine].pendingResponses.erase(requestNumber);
}

void CostLoadBalancer::onFinished(const std::string& engine) {
  EngineLoad& load = engineLoads_[engine];
  load.inFlight -= load.inFlight > 0 ? 1 : 0;
}

void CostLoadBalancer::onRejected(const std::string& engine, Time now) {
  engineLoads_[engine].rejectedUntil = now + costs_.rejectionPenaltyDuration;
}

void CostLoadBalancer::onFailed(const std::string& engine, Time now) {
  engineLoads_[engine].failedUntil = now + costs_.failurePenaltyDuration;
}

void CostLoadBalancer::onServed(const std::string& engine, const OpaqueCall& call, Time now) {
  if (prefixUses_.size() > kMaxPrefixes) {
    prefixUses_.clear();
  }
  for (const Prefix& prefix : sharedPrefixes(call.prompt)) {
    if (prefix.tokens >= costs_.minSharedPrefixTokens) {
      prefixUses_[prefix.hash][engine] = now;
    }
  }
}

void CostLoadBalancer::keepOnly(const EngineTable& table) {
  std::set<std::string> listed;
  for (const EngineInfo& engine : table.engines) {
    listed.insert(engine.id);
  }
  for (auto load = engineLoads_.begin(); load != engineLoads_.end();) {
    const bool keep = listed.count(load->first) != 0 || load->second.inFlight > 0;
    load = keep ? std::next(load) : engineLoads_.erase(load);
  }
  for (auto& prefix : prefixUses_) {
    for (auto engine = prefix.second.begin(); engine != prefix.second.end();) {
      engine = listed.count(engine->first) != 0 ? std::next(engine) : prefix.second.erase(engine);
    }
  }
}

}  // namespace shedshed

/// @file
/// Load balancer that chooses the engine where a call is estimated to cost the least time.
#pragma once

#include "engines/engine_table.h"
#include "gateway/opaque_call.h"
#include "kernel/core.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Estimated costs, as additional milliseconds of the call.
struct LoadBalancerCosts {
  double callInFlightMilliseconds = 4;  ///< For each call of this node that runs at the engine.
  double uncachedTokenMilliseconds = 0.0065;  ///< For each token of the prompt to be read there.
  double otherZoneMilliseconds = 2;           ///< For an engine in another zone.
  double notSuggestedMilliseconds =
      12;  ///< For an engine that is not the one suggested for the call.
  double afterRejectionMilliseconds = 25;  ///< While `rejectionMemory` lasts.
  double afterFailureMilliseconds = 2000;  ///< While `failureMemory` lasts.
  double unresponsiveMilliseconds =
      1000;  ///< While a call has waited for its answer beyond `unresponsiveAfter`.
  double prefixHitProbability =
      0.8;  ///< Probability that a prefix is cached at its preferred engine.
  std::uint32_t minSharedPrefixTokens =
      600;  ///< A shorter shared prefix has no affinity to an engine.
  Duration rejectionPenaltyDuration = std::chrono::milliseconds(150);
  Duration failurePenaltyDuration = std::chrono::milliseconds(1500);
  Duration prefixCacheTtl = std::chrono::seconds(90);
  Duration unresponsiveAfter = std::chrono::milliseconds(350);
};

/// The chosen engine.
struct EngineChoice {
  std::string id;
  std::string address;
};

/// Tracks what this node knows of the engines' load and prefix caches. Core thread only.
class CostLoadBalancer {
 public:
  /// @p zone is this node's.
  CostLoadBalancer(std::string zone, RandomEngine& random, LoadBalancerCosts costs = {});

  /// A call was sent to the engine, which has not answered it yet.
  /// @return the number by which `answered` ends the wait
  std::uint64_t onSent(const std::string& engine, Time now);

  /// The engine has started to answer the call, or the call was abandoned.
  void onAnswered(const std::string& engine, std::uint64_t requestNumber);

  /// Chooses among the ready engines of the call's service that are not in @p excluded, and counts
  /// the call as in flight there until `finished`. Fails with `NoEngine`.
  Result<EngineChoice> choose(const EngineTable& table, const OpaqueCall& call,
                              const std::set<std::string>& excluded, Time now);

  /// The call has left the engine.
  void onFinished(const std::string& engine);

  /// The engine rejected a call without running it.
  void onRejected(const std::string& engine, Time now);

  /// The engine could not be reached, or its response was incomplete.
  void onFailed(const std::string& engine, Time now);

  /// The engine has read the call's prompt.
  void onServed(const std::string& engine, const OpaqueCall& call, Time now);

  /// Forgets what is known of engines that @p table does not list.
  void keepOnly(const EngineTable& table);

 private:
  struct EngineLoad {
    std::uint32_t inFlight = 0;
    Time rejectedUntil{};
    Time failedUntil{};
    std::map<std::uint64_t, Time>
        pendingResponses;  ///< Calls without an answer, and when each was sent.
  };
  /// A prefix of a prompt: the parts up to one that is shared.
  struct Prefix {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
  };

  /// The shared prefixes of the call, shortest first.
  static std::vector<Prefix> sharedPrefixes(const PromptHints& prompt);
  double cachedTokens(const EngineInfo& engine, const std::vector<Prefix>& prefixes,
                      const std::string& preferred, Time now) const;
  double cost(const EngineInfo& engine, double uncachedTokens, Time now) const;

  const std::string zone_;
  RandomEngine& random_;
  const LoadBalancerCosts costs_;
  std::map<std::string, EngineLoad> engineLoads_;
  std::uint64_t lastRequestNumber_ = 0;
  /// Prefix hash → engine id → when the engine last processed the prefix.
  std::map<std::uint64_t, std::map<std::string, Time>> prefixUses_;
};

}  // namespace shedshed

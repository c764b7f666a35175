/// @file
/// Load balancer that chooses the engine with the lowest estimated latency cost of a call.
#pragma once

#include "engines/engine_table.h"
#include "gateway/opaque_call.h"
#include "kernel/core.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Estimated costs, as additional latency of the call in milliseconds.
struct LoadBalancerCosts {
  double callInFlightMilliseconds = 4;  ///< Per call of this node that is in flight at the engine.
  double uncachedTokenMilliseconds = 0.0065;  ///< Per prompt token not cached at the engine.
  double otherZoneMilliseconds = 2;           ///< For an engine in another zone.
  double notSuggestedMilliseconds =
      12;  ///< For an engine other than the one suggested for the call.
  double afterRejectionMilliseconds = 25;  ///< For `rejectionPenaltyDuration` after a rejection.
  double afterFailureMilliseconds = 2000;  ///< For `failurePenaltyDuration` after a failure.
  double unresponsiveMilliseconds =
      1000;  ///< While a call has waited for a response longer than `unresponsiveAfter`.
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

/// Tracks the load and the cached prefixes of engines, as observed by this node. Core thread only.
class CostLoadBalancer {
 public:
  /// @p zone is the zone of this node; if it is empty, zones are ignored.
  CostLoadBalancer(std::string zone, RandomEngine& random, LoadBalancerCosts costs = {});

  /// Records that a call was sent to the engine. Returns a number to be passed to `onAnswered`.
  std::uint64_t onSent(const std::string& engine, Time now);

  /// Records that the engine started to respond to the call, or that the call was abandoned.
  void onAnswered(const std::string& engine, std::uint64_t requestNumber);

  /// Chooses among the ready engines of the call's service that are not in @p excluded, and counts
  /// the call as in flight there until `onFinished`. Fails with `NoEngine`.
  Result<EngineChoice> choose(const EngineTable& table, const OpaqueCall& call,
                              const std::set<std::string>& excluded, Time now);

  /// Records that a call is no longer in flight at the engine.
  void onFinished(const std::string& engine);

  /// Records that the engine rejected a call without running it.
  void onRejected(const std::string& engine, Time now);

  /// Records that the engine was unreachable or sent an incomplete response.
  void onFailed(const std::string& engine, Time now);

  /// Records that the engine processed the call's prompt and so holds its prefixes in its cache.
  void onServed(const std::string& engine, const OpaqueCall& call, Time now);

  /// Removes the state of engines that @p table does not list.
  void keepOnly(const EngineTable& table);

 private:
  struct EngineLoad {
    std::uint32_t inFlight = 0;
    Time rejectedUntil{};
    Time failedUntil{};
    /// Send times of unanswered calls, by call number.
    std::map<std::uint64_t, Time> pendingResponses;
  };
  /// A prompt prefix that other calls may share: one or more leading parts of the prompt.
  struct Prefix {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
  };

  /// Returns the shareable prefixes of the prompt, shortest first.
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

/// @file
/// Selection of an engine for each call. Does no I/O and reads no clock.
#pragma once

#include "engines/engine_table.h"
#include "kernel/error.h"
#include "kernel/time.h"
#include "serving/circuit_breaker.h"
#include "serving/prefix_table.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Most block hashes that a router keeps.
inline constexpr std::size_t kPrefixTableCapacity = 200000;

/// Routing input of a call.
struct RouteQuery {
  std::string model;
  std::vector<BlockHash> prompt;   ///< Result of `hashPromptBlocks`; not empty.
  double loadBound = 1.25;         ///< Multiple of the mean load above which calls spill over.
  std::set<std::string> excluded;  ///< Engines that the call has already tried.
};

/// The chosen engine.
struct RouteChoice {
  std::string engine;
  std::string address;
};

/// Result of an exchange as evidence of the engine's health. `Inconclusive` does not affect the
/// circuit breaker's failure count.
enum class ExchangeOutcome { Healthy, Faulty, Inconclusive };

/// Prefers the engine with the longest known cached prefix, else the one that rendezvous hashing
/// gives for the prompt's first block. Spills over to the least loaded engine if the preferred one
/// exceeds the load bound.
///
/// Thread-safe.
class Router {
 public:
  explicit Router(std::size_t prefixCapacity = kPrefixTableCapacity) : prefixes_(prefixCapacity) {}

  /// Chooses a ready engine and counts the call as in flight there until `finish`. Fails with
  /// `NotFound` if no engine is listed for the model, or `NoEngine` if none is usable at @p now.
  Result<RouteChoice> choose(const EngineTable& table, const RouteQuery& query, Time now);

  /// Ends a call that was started by `choose`.
  void finish(const std::string& engine, ExchangeOutcome outcome, Time now);

 private:
  struct EngineStatus {
    std::uint32_t inFlight = 0;
    CircuitBreaker breaker;
  };
  using Candidates = std::vector<const EngineInfo*>;

  Candidates usableEngines(const EngineTable& table, const RouteQuery& query, Time now);
  const EngineInfo* longestPrefixEngine(const Candidates& candidates, const RouteQuery& query);
  /// Records that @p engine caches the prompt's blocks. A call that spilled over does not reassign
  /// blocks that are already recorded, because they are still cached by their preferred engine.
  void recordPrompt(const std::vector<BlockHash>& prompt, const std::string& engine,
                    bool spilledOver);
  std::uint32_t engineLoad(const EngineInfo& engine);
  const EngineInfo& applyLoadBound(const Candidates& candidates, const EngineInfo& preferred,
                                   double bound);

  std::mutex mutex_;
  PrefixTable prefixes_;
  std::map<std::string, EngineStatus> engineStatuses_;
};

}  // namespace shedshed

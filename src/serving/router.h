/// @file
/// Chooses the engine of a call. No I/O and no clock.
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

/// Most block hashes that a router remembers.
inline constexpr std::size_t kPrefixTableCapacity = 200000;

/// What a call asks of an engine.
struct RouteQuery {
  std::string model;
  std::vector<BlockHash> prompt;   ///< Of `hashPromptBlocks`; not empty.
  double loadBound = 1.25;         ///< Spill over above this multiple of the mean load.
  std::set<std::string> excluded;  ///< Engines that this call has tried.
};

/// The chosen engine.
struct RouteChoice {
  std::string engine;
  std::string address;
};

/// How an exchange with an engine ended, as its health is judged.
enum class ExchangeOutcome { Healthy, Faulty, Inconclusive };

/// Routes by longest known warm prefix, then by rendezvous of the prompt's first block, and spills
/// over to the least loaded engine.
///
/// Threading: any thread; one short lock.
class Router {
 public:
  explicit Router(std::size_t prefixCapacity = kPrefixTableCapacity) : prefixes_(prefixCapacity) {}

  /// Chooses a ready engine and counts the call as in flight there until `finish`. Fails with
  /// `NotFound` if no engine is listed for the model, `NoEngine` if none may be used now.
  Result<RouteChoice> choose(const EngineTable& table, const RouteQuery& query, Time now);

  /// Ends a call that `choose` counted.
  void finish(const std::string& engine, ExchangeOutcome outcome, Time now);

 private:
  struct EngineStatus {
    std::uint32_t inFlight = 0;
    CircuitBreaker breaker;
  };
  using Candidates = std::vector<const EngineInfo*>;

  Candidates usableEngines(const EngineTable& table, const RouteQuery& query, Time now);
  const EngineInfo* longestPrefixEngine(const Candidates& candidates, const RouteQuery& query);
  /// Notes where the prompt is warm now. A call that spilled over does not move the blocks that it
  /// shares with others away from the engine that is preferred for them.
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

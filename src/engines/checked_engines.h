/// @file
/// The engines that this node checks, with the results of its checks.
#pragma once

#include "engines/engine_health_checker_options.h"
#include "engines/engine_health_report.h"
#include "engines/engine_listing.h"
#include "engines/engine_table.h"
#include "kernel/node_id.h"
#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// Tracks the engines that this node checks and the results of its checks. Sends nothing. Core
/// thread only.
class CheckedEngines {
 public:
  /// @p options must outlive this object.
  explicit CheckedEngines(const EngineHealthCheckerOptions& options) : options_(options) {}

  /// Where to send one health check.
  struct Target {
    std::string id;
    std::string address;
  };

  /// The results of this node's checks.
  struct Reports {
    EngineHealthReport shared;  ///< Of engines that are assigned to this node.
    EngineHealthReport own;     ///< Of engines that it checks only to verify other nodes' results.
  };

  /// Selects the engines of @p listing that are assigned to @p self among @p checkers or were less
  /// than `handoverTime` ago; with @p verifyAll, all engines. The state of an engine whose address
  /// has changed is reset.
  /// @return true if any engine is no longer checked.
  bool assign(const EngineListing& listing, const NodeId& self, const std::vector<NodeId>& checkers,
              bool verifyAll, Time now);

  std::vector<Target> targets() const;

  /// Records the result @p health of check @p number. Ignored if the engine was not reachable, or
  /// if a later check was answered before: this result may show an older state.
  /// @return true if its state has changed.
  bool recordHealth(const Target& target, std::uint64_t number, const EngineHealth& health,
                    Time now);

  /// Marks engines that have not answered for `unreachableTimeout` as `Gone`.
  /// @return true if any state has changed.
  bool markUnreachable(Time now);

  /// True if load changes are to be reported now, @p sinceLastReport after the last report, in a
  /// fleet of @p listedEngines.
  bool loadReportDue(Duration sinceLastReport, std::size_t listedEngines) const;

  /// Returns all results, and records their loads as reported.
  Reports report();

 private:
  struct CheckedEngine {
    std::string address;
    std::uint32_t maxRunning = 0;
    bool primaryChecker = false;  ///< This node reports changes of the load.
    bool shared = false;          ///< Assigned to this node; else checked only to verify others.
    Time lastAssigned{};
    Time lastAnswer{};  ///< Initially the time of the assignment.
    std::uint64_t newestAnswer = 0;
    EngineState state = EngineState::Unknown;
    std::uint32_t running = 0;
    std::uint32_t reportedRunning = 0;
  };

  const EngineHealthCheckerOptions& options_;
  std::map<std::string, CheckedEngine> engines_;  ///< By engine id.
};

}  // namespace shedshed

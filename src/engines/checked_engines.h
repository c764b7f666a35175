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

/// What a node knows from its own health checks. Sends nothing. Core thread only.
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

  /// Selects the engines of @p listing that are assigned to @p self among @p checkers, those that
  /// were so until `handoverTime` ago, and with @p verifyAll all others. An engine whose address
  /// changed starts anew.
  /// @return true if any engine is no longer checked.
  bool assign(const EngineListing& listing, const NodeId& self, const std::vector<NodeId>& checkers,
              bool verifyAll, Time now);

  std::vector<Target> targets() const;

  /// An engine has answered check @p number with @p health. Ignored if a later check was answered
  /// before: this answer may show an older state.
  /// @return true if its state has changed.
  bool recordHealth(const Target& target, std::uint64_t number, const EngineHealth& health,
                    Time now);

  /// Marks the engines that have not answered for `unreachableTimeout`.
  /// @return true if any state has changed.
  bool markUnreachable(Time now);

  /// True if changed loads should be reported, @p sinceLastReport after the last report, in a fleet
  /// of @p listedEngines.
  bool loadReportDue(Duration sinceLastReport, std::size_t listedEngines) const;

  /// Returns all results, and takes their loads as reported.
  Reports report();

 private:
  struct CheckedEngine {
    std::string address;
    std::uint32_t maxRunning = 0;
    bool primaryChecker = false;  ///< This node reports changes of the load.
    bool shared = false;          ///< Assigned to this node; else checked only to verify others.
    Time lastAssigned{};
    Time lastAnswer{};  ///< At first the start of the checks.
    std::uint64_t newestAnswer = 0;
    EngineState state = EngineState::Unknown;
    std::uint32_t running = 0;
    std::uint32_t reportedRunning = 0;
  };

  const EngineHealthCheckerOptions& options_;
  std::map<std::string, CheckedEngine> engines_;  ///< By engine id.
};

}  // namespace shedshed

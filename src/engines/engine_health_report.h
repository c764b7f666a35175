/// @file
/// Health reports that are published by the nodes that check engines, and their merge.
#pragma once

#include "engines/engine_listing.h"
#include "engines/engine_table.h"
#include "kernel/node_id.h"
#include "kernel/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// One node's result of checking one engine; about 16 bytes encoded.
struct EngineHealthCheckResult {
  std::string id;
  std::uint32_t addressTag = 0;  ///< Hash of the address: distinguishes a replaced engine.
  EngineState state = EngineState::Unknown;
  std::uint32_t running = 0;
  MSGPACK_DEFINE(id, addressTag, state, running);
};

/// All results of one node; the value of the gossip topic `kEngineTopic`.
struct EngineHealthReport {
  std::vector<EngineHealthCheckResult> results;
  MSGPACK_DEFINE(results);
};

/// Gossip topic of the `EngineHealthReport`.
inline constexpr const char* kEngineTopic = "engines";

/// Returns the `addressTag` of @p address.
std::uint32_t engineAddressTag(const std::string& address);

/// Collects the reports of all checkers. Core thread only.
class EngineHealthReports {
 public:
  /// Replaces the report of one checker; an empty one removes it.
  void set(const NodeId& checker, EngineHealthReport report);

  /// Replaces the results that this node does not publish; they count as a live checker's report.
  void setOwn(EngineHealthReport report) { own_ = std::move(report); }

  /// Marks a checker confirmed dead or live. A dead checker's results are used only for engines
  /// without results of a live checker, and only until they expire (`expire`).
  /// @return true if it changed.
  bool setDead(const NodeId& checker, bool dead, Time now);

  /// Removes the results of checkers that have been dead for longer than @p expiry.
  /// @return true if any was removed.
  bool expire(Time now, Duration expiry);

  /// Builds the table of the listed engines: draining if any checker reports so, else ready if
  /// any reaches it, else gone if any reports so, else unknown.
  EngineTable merge(const EngineListing& listing) const;

 private:
  struct Entry {
    EngineHealthReport report;
    bool dead = false;
    Time deadSince{};
  };
  std::map<NodeId, Entry> entries_;
  EngineHealthReport own_;
};

}  // namespace shedshed

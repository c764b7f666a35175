/// @file
/// What the watchers of the engines publish, and how the reports of several are merged.
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

/// One watcher's finding about one engine; about 16 bytes encoded.
struct EngineFinding {
  std::string id;
  std::uint32_t addressTag = 0;  ///< Hash of the address: tells a replaced engine apart.
  EngineState state = EngineState::Unknown;
  std::uint32_t running = 0;
  MSGPACK_DEFINE(id, addressTag, state, running);
};

/// All findings of one watcher; the value of the gossip topic `kEngineTopic`.
struct EngineReport {
  std::vector<EngineFinding> findings;
  MSGPACK_DEFINE(findings);
};

/// Gossip topic of the `EngineReport`.
inline constexpr const char* kEngineTopic = "engines";

/// Returns the tag of an engine's address.
std::uint32_t engineAddressTag(const std::string& address);

/// Collects the reports of all watchers.
class EngineReports {
 public:
  /// Replaces the report of one watcher; an empty one withdraws it.
  void set(const NodeId& watcher, EngineReport report);

  /// Replaces what this node found by itself and tells nobody; counts as a live watcher's report.
  void setOwn(EngineReport report) { own_ = std::move(report); }

  /// Marks a watcher dead or live. A dead watcher's findings count only where no live one has any,
  /// and only until they expire (`expire`).
  /// @return true if it changed.
  bool setDead(const NodeId& watcher, bool dead, Time now);

  /// Drops the findings of watchers that have been dead for longer than @p expiry.
  /// @return true if any was dropped.
  bool expire(Time now, Duration expiry);

  /// Builds the table of the listed engines: draining if any watcher says so, else ready if any
  /// reaches it, else gone if any report says so, else unknown.
  EngineTable merge(const EngineListing& listing) const;

 private:
  struct Entry {
    EngineReport report;
    bool dead = false;
    Time deadSince{};
  };
  std::map<NodeId, Entry> entries_;
  EngineReport own_;
};

}  // namespace shedshed

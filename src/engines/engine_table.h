/// @file
/// The engines as used for routing.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// State of an engine as published by the nodes that check it. The numeric values are part of the
/// wire format.
enum class EngineState : std::uint8_t {
  Unknown = 0,  ///< Listed, no node has reached it yet.
  Ready = 1,
  Draining = 2,  ///< Finishes its running requests; gets no new ones.
  Gone = 3,      ///< No node reaches it, or it is no longer listed.
};

/// One engine.
struct EngineInfo {
  std::string id;                ///< Stable name in the platform's listing.
  std::string address;           ///< "a.b.c.d:port" of its HTTP.
  std::string model;             ///< The model or service that it serves.
  std::uint32_t maxRunning = 0;  ///< Requests that it runs at once.
  std::uint32_t running = 0;     ///< Last reported value, of all data nodes together.
  EngineState state = EngineState::Unknown;
  std::string zone;  ///< Empty if it is not known.
  MSGPACK_DEFINE(id, address, model, maxRunning, running, state, zone);
};

/// An immutable list of all listed engines, sorted by id.
struct EngineTable {
  std::vector<EngineInfo> engines;
};

/// Read access to the engines. `table` may be called by any thread; `addListener` only on the core
/// thread.
class EngineSource {
 public:
  virtual ~EngineSource() = default;
  virtual std::shared_ptr<const EngineTable> table() const = 0;
  /// Until when the table may be used for new calls. After a stall of the process, until the
  /// engines have been rechecked, this is a time in the past. May be called by any thread.
  virtual Time freshUntil() const { return Time::max(); }
  /// Calls @p listener on the core thread after each change of the table.
  virtual void addListener(std::function<void(const EngineTable&)> listener) = 0;
};

/// Result of one health check of an engine.
struct EngineHealth {
  bool reachable = false;
  bool draining = false;
  std::uint32_t running = 0;
  std::uint32_t maxRunning = 0;
};

/// Reads an engine's health over HTTP. Implemented by `serving/`; the simulator has its own.
class EngineProbe {
 public:
  virtual ~EngineProbe() = default;
  /// Reads the engine at @p address; @p done is called once, on the core thread.
  virtual void probe(const std::string& address, std::function<void(EngineHealth)> done) = 0;
};

}  // namespace shedshed

MSGPACK_ADD_ENUM(shedshed::EngineState);

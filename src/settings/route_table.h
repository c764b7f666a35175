/// @file
/// Routes, services and limits of client traffic: the part of the settings that decides which
/// request goes to which engines.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"
#include "settings/json.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// How the requests of a route may be executed.
enum class RouteKind : std::uint8_t {
  Safe,       ///< May run more than once.
  Unsafe,     ///< Runs at most once per attempt of its client.
  Streaming,  ///< Answered as an event stream; runs at most once unless resumable.
  Batch,      ///< Batches are submitted and read here.
};

/// A service with its weight among those of a route.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// One route. A name in backticks is that of the JSON member.
struct RouteSettings {
  std::string name;
  std::string host;
  std::string pathPrefix;  ///< Begins and ends with '/'.
  RouteKind kind = RouteKind::Unsafe;
  Duration timeout{0};  ///< `timeout_ms`: the deadline of a call.
  /// `target_ms`: latency target of the complete response, or of the first event of a stream.
  Duration objective{0};
  std::uint32_t priority = 0;
  std::uint32_t maxAttempts = 1;  ///< Largest number of attempts, at different engines.
  bool isPublic = false;          ///< Calls need no key.
  bool resumable = false;         ///< A stream may continue at another engine.
  /// `run_target_ms`: time within which all results of a batch are due.
  Duration completionObjective{0};
  Duration maxWait{0};  ///< `max_wait_s`: after that an item may be abandoned.
  /// `max_queued_tokens`: maximum tokens of one tenant's unfinished items; 0: not bounded.
  std::uint64_t maxQueuedTokens = 0;
  std::vector<WeightedService> services;  ///< Not empty; the sum of the weights is above 0.
};

/// One service: a set of engines that are interchangeable to clients.
struct ServiceSettings {
  std::string name;
  std::uint32_t maxConnections = 0;  ///< Of one engine, from all nodes together; 0: not bounded.
  std::uint32_t slots = 0;           ///< Concurrent requests of an engine.
  std::uint64_t cacheTokens = 0;     ///< Capacity of an engine's KV cache, in tokens.
};

/// Limits of what a client may send and of how long it may take.
struct ClientLimits {
  std::uint64_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBodyBytes = 4U << 20U;
  Duration headerTimeout = std::chrono::seconds(5);
  Duration idleTimeout = std::chrono::seconds(60);
};

/// The validated table. Immutable after `parse`.
class RouteTable {
 public:
  /// Reads the members `routes`, `services` and `limits` of the settings object @p root; all may be
  /// absent. Fails with `InvalidArgument`; the detail names the path.
  static Result<RouteTable> parse(const cJSON* root);

  /// The route of the longest prefix that begins @p path, of those of @p host; nullptr if none.
  const RouteSettings* match(std::string_view host, std::string_view path) const;

  /// The route named @p name, or nullptr.
  const RouteSettings* find(const std::string& name) const;

  /// The service named @p name, or nullptr.
  const ServiceSettings* service(const std::string& name) const;

  const std::map<std::string, RouteSettings>& routes() const { return routes_; }

  /// The shortest completion objective of all routes; 0 if no route has one.
  Duration shortestCompletionObjective() const;
  const ClientLimits& clientLimits() const { return limits_; }
  bool empty() const { return routes_.empty(); }

 private:
  friend class RouteTableParser;

  std::map<std::string, RouteSettings> routes_;  ///< By name.
  std::map<std::string, ServiceSettings> services_;
  /// Names of the routes by host, then by prefix.
  std::map<std::string, std::map<std::string, std::string>, std::less<>> byHost_;
  ClientLimits limits_;
};

}  // namespace shedshed

/// @file
/// Routes, services and bounds of the callers' traffic: the part of the settings that says which
/// call goes where.
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

/// What may be done with a call of a route.
enum class RouteKind : std::uint8_t {
  Safe,       ///< May run more than once.
  Unsafe,     ///< Runs at most once per attempt of its caller.
  Streaming,  ///< Answered event by event; runs at most once unless it is resumable.
  Batch,      ///< Batches are handed in and read here.
};

/// A service with its share of a route's calls.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// One route. A name in brackets is that of the JSON member.
struct RouteSettings {
  std::string name;
  std::string host;
  std::string pathPrefix;  ///< Begins and ends with '/'.
  RouteKind kind = RouteKind::Unsafe;
  Duration timeout{0};    ///< `timeout_ms`: the longest that a call is held.
  Duration objective{0};  ///< `target_ms`: to the whole answer, or to the first event.
  std::uint32_t priority = 0;
  std::uint32_t maxAttempts = 1;  ///< Engines that one call may be sent to.
  bool isPublic = false;          ///< Calls need no key.
  bool resumable = false;         ///< A stream may go on at another engine.
  Duration runObjective{0};       ///< `run_target_ms`: all results of a batch are due.
  Duration maxWait{0};            ///< `max_wait_s`: after that an item may be given up.
  /// `max_queued_tokens`: most tokens of one tenant's unfinished items; 0: not bounded.
  std::uint64_t maxQueuedTokens = 0;
  std::vector<WeightedService> services; /*!< Not empty; weights add up to more than 0. */
};

/// One service: a set of engines that are equal to callers.
struct ServiceSettings {
  std::string name;
  std::uint32_t maxConnections = 0;  ///< Of one engine, from all nodes together; 0: not bounded.
  std::uint32_t slots = 0;           ///< Requests that an engine works on at once.
  std::uint64_t cacheTokens = 0;     ///< Tokens that an engine's memory holds.
};

/// Bounds of what a caller may send and of how long it may take.
struct CallerBounds {
  std::uint64_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBodyBytes = 4U << 20U;
  Duration headerTimeout = std::chrono::seconds(5);
  Duration idleTimeout = std::chrono::seconds(60);
};

/// The checked table. Immutable after `parse`.
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

  /// The shortest time in which the results of a batch are due; 0 if no route names one.
  Duration shortestRunObjective() const;
  const CallerBounds& bounds() const { return bounds_; }
  bool empty() const { return routes_.empty(); }

 private:
  Status parseServices(const cJSON* node);
  Status parseRoutes(const cJSON* node);
  Status parseRoute(const cJSON* node, const std::string& path);
  Status parseRouteServices(const cJSON* node, const std::string& path, RouteSettings& route) const;
  Status parseBounds(const cJSON* node);

  std::map<std::string, RouteSettings> routes_;  ///< By name.
  std::map<std::string, ServiceSettings> services_;
  /// Names of the routes by host, then by prefix.
  std::map<std::string, std::map<std::string, std::string>, std::less<>> byHost_;
  CallerBounds bounds_;
};

}  // namespace shedshed

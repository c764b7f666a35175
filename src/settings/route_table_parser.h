/// @file
/// Builds a `RouteTable` from the settings.
#pragma once

#include "settings/json.h"
#include "settings/route_table.h"

#include <string>

namespace shedshed {

/// Checks and parses routes, services and client limits. Used for one parse; the table is returned
/// only when all of it is valid.
class RouteTableParser {
 public:
  /// See `RouteTable::parse`.
  Result<RouteTable> parse(const cJSON* root);

 private:
  Status parseServices(const cJSON* node);
  Status parseRoutes(const cJSON* node);
  Status parseRoute(const cJSON* node, const std::string& path);
  /// Parses what selects the calls of a route: host, path prefix and kind.
  static Status parseMatch(const cJSON* node, const std::string& path, RouteSettings& route);
  /// Parses time-outs, objectives, bounds and services of a route.
  Status parseLimits(const cJSON* node, const std::string& path, RouteSettings& route) const;
  Status parseRouteServices(const cJSON* node, const std::string& path, RouteSettings& route) const;
  Status addRoute(const cJSON* node, const std::string& path, RouteSettings route);
  Status parseClientLimits(const cJSON* node);

  RouteTable table_;
};

}  // namespace shedshed

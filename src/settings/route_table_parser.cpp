#include "settings/route_table_parser.h"

#include "settings/json_fields.h"

#include <optional>
#include <utility>

namespace shedshed {

namespace {

/// A route kind and its name in the settings.
struct RouteKindName {
  const char* name;
  RouteKind kind;
};
constexpr RouteKindName kRouteKindNames[] = {{"safe", RouteKind::Safe},
                                             {"unsafe", RouteKind::Unsafe},
                                             {"streaming", RouteKind::Streaming},
                                             {"batch", RouteKind::Batch}};

std::optional<RouteKind> parseKind(const cJSON* node) {
  if (!cJSON_IsString(node)) {
    return std::nullopt;
  }
  for (const RouteKindName& known : kRouteKindNames) {
    if (std::string_view(known.name) == node->valuestring) {
      return known.kind;
    }
  }
  return std::nullopt;
}

bool isPrefix(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

}  // namespace

Result<RouteTable> RouteTableParser::parse(const cJSON* root) {
  if (Status status = parseServices(jsonMember(root, "services")); !status) {
    return status.error();
  }
  if (Status status = parseRoutes(jsonMember(root, "routes")); !status) {
    return status.error();
  }
  if (Status status = parseClientLimits(jsonMember(root, "limits")); !status) {
    return status.error();
  }
  return std::move(table_);
}

Status RouteTableParser::parseServices(const cJSON* node) {
  if (node == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsObject(node)) {
    return jsonError("/services", node, "an object with a member for each service");
  }
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    const std::string path = std::string("/services/") + child->string;
    if (!cJSON_IsObject(child)) {
      return jsonError(path, child, "an object");
    }
    ServiceSettings& service = table_.services_[child->string];
    service.name = child->string;
    const cJSON* engine = jsonMember(child, "engine");
    if (Status status = firstFailure(
            {readCount(child, "max_conns", path, service.maxConnections),
             readCount(engine, "slots", path + "/engine", service.slots),
             readCount(engine, "kv_cache_tokens", path + "/engine", service.cacheTokens)});
        !status) {
      return status;
    }
  }
  return okStatus();
}

Status RouteTableParser::parseRoutes(const cJSON* node) {
  if (node == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsObject(node)) {
    return jsonError("/routes", node, "an object with a member for each route");
  }
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    if (Status status = parseRoute(child, std::string("/routes/") + child->string); !status) {
      return status;
    }
  }
  return okStatus();
}

Status RouteTableParser::parseRoute(const cJSON* node, const std::string& path) {
  if (!cJSON_IsObject(node)) {
    return jsonError(path, node, "an object");
  }
  RouteSettings route;
  route.name = node->string;
  if (Status status = parseMatch(node, path, route); !status) {
    return status;
  }
  if (Status status = parseLimits(node, path, route); !status) {
    return status;
  }
  return addRoute(node, path, std::move(route));
}

Status RouteTableParser::parseMatch(const cJSON* node, const std::string& path,
                                    RouteSettings& route) {
  const Result<std::string> host = jsonString(node, "host", path);
  const Result<std::string> prefix = jsonString(node, "path_prefix", path);
  const std::optional<RouteKind> kind = parseKind(jsonMember(node, "kind"));
  if (!host || !prefix) {
    return host ? prefix.error() : host.error();
  }
  if (!isPrefix(prefix.value())) {
    return jsonError(path + "/path_prefix", jsonMember(node, "path_prefix"),
                     "a path that begins and ends with '/'");
  }
  if (!kind) {
    return jsonError(path + "/kind", jsonMember(node, "kind"),
                     "\"safe\", \"unsafe\", \"streaming\" or \"batch\"");
  }
  route.host = host.value();
  route.pathPrefix = prefix.value();
  route.kind = *kind;
  return okStatus();
}

Status RouteTableParser::parseLimits(const cJSON* node, const std::string& path,
                                     RouteSettings& route) const {
  const Duration millisecond = std::chrono::milliseconds(1);
  const Duration second = std::chrono::seconds(1);
  if (Status status = firstFailure(
          {readDuration(node, "timeout_ms", path, millisecond, route.timeout),
           readDuration(node, "target_ms", path, millisecond, route.objective),
           readDuration(node, "run_target_ms", path, millisecond, route.completionObjective),
           readDuration(node, "max_wait_s", path, second, route.maxWait),
           readCount(node, "priority", path, route.priority),
           readCount(node, "max_attempts", path, route.maxAttempts),
           readTokens(node, "max_queued_tokens", path, route.maxQueuedTokens),
           readBool(node, "public", path, route.isPublic),
           readBool(node, "resumable", path, route.resumable),
           parseRouteServices(node, path, route)});
      !status) {
    return status;
  }
  if (route.timeout == Duration{0}) {
    return jsonError(path + "/timeout_ms", jsonMember(node, "timeout_ms"), "more than 0");
  }
  return okStatus();
}

Status RouteTableParser::addRoute(const cJSON* node, const std::string& path, RouteSettings route) {
  const auto added = table_.byHost_[route.host].emplace(route.pathPrefix, route.name);
  if (!added.second) {
    return jsonError(path + "/path_prefix", jsonMember(node, "path_prefix"),
                     "each prefix of a host once; it is already used by " + added.first->second);
  }
  table_.routes_.emplace(route.name, std::move(route));
  return okStatus();
}

Status RouteTableParser::parseRouteServices(const cJSON* node, const std::string& path,
                                            RouteSettings& route) const {
  const cJSON* split = jsonMember(node, "traffic_split");
  if (cJSON_IsArray(split)) {
    for (const cJSON* child = split->child; child != nullptr; child = child->next) {
      WeightedService target;
      const std::string childPath = path + "/traffic_split";
      const Result<std::string> service = jsonString(child, "service", childPath);
      if (!service) {
        return service.error();
      }
      target.service = service.value();
      if (Status status = readNumber(child, "weight", childPath, 0, kMaxCount, target.weight);
          !status) {
        return status;
      }
      route.services.push_back(std::move(target));
    }
  } else {
    const Result<std::string> service = jsonString(node, "service", path);
    if (!service) {
      return service.error();
    }
    route.services.push_back({service.value(), 1});
  }
  double total = 0;
  for (const WeightedService& target : route.services) {
    if (table_.services_.count(target.service) == 0) {
      return makeError(ErrorCode::InvalidArgument, path + ": no such service: " + target.service);
    }
    total += target.weight;
  }
  if (total <= 0) {
    return makeError(ErrorCode::InvalidArgument, path + ": the weights must add up to more than 0");
  }
  return okStatus();
}

Status RouteTableParser::parseClientLimits(const cJSON* node) {
  if (node == nullptr) {
    return okStatus();
  }
  const Duration millisecond = std::chrono::milliseconds(1);
  const std::string path = "/limits";
  ClientLimits& limits = table_.limits_;
  return firstFailure(
      {readCount(node, "max_header_bytes", path, limits.maxHeaderBytes),
       readCount(node, "max_body_bytes", path, limits.maxBodyBytes),
       readDuration(node, "header_timeout_ms", path, millisecond, limits.headerTimeout),
       readDuration(node, "idle_timeout_ms", path, millisecond, limits.idleTimeout)});
}

}  // namespace shedshed

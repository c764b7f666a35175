#include "settings/route_table.h"

#include <cmath>
#include <optional>

namespace shedshed {
namespace {

constexpr double kMostMilliseconds = 86400000;
constexpr double kMostCount = 1e9;
constexpr double kMostTokens = 1e15;

struct KindWord {
  const char* word;
  RouteKind kind;
};
constexpr KindWord kKindWords[] = {{"safe", RouteKind::Safe},
                                   {"unsafe", RouteKind::Unsafe},
                                   {"streaming", RouteKind::Streaming},
                                   {"batch", RouteKind::Batch}};

std::optional<RouteKind> kindOf(const cJSON* node) {
  if (!cJSON_IsString(node)) {
    return std::nullopt;
  }
  for (const KindWord& known : kKindWords) {
    if (std::string_view(known.word) == node->valuestring) {
      return known.kind;
    }
  }
  return std::nullopt;
}

/// Reads an optional number between @p least and @p most.
Status readNumber(const cJSON* object, const char* name, const std::string& path, double least,
                  double most, double& value) {
  const cJSON* member = jsonMember(object, name);
  if (member == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsNumber(member) || member->valuedouble < least || member->valuedouble > most) {
    return jsonError(path + "/" + name, member,
                     "a number from " + std::to_string(least) + " to " + std::to_string(most));
  }
  value = member->valuedouble;
  return okStatus();
}

template <class Count>
Status readCount(const cJSON* object, const char* name, const std::string& path, Count& count) {
  double number = static_cast<double>(count);
  Status status = readNumber(object, name, path, 0, kMostCount, number);
  if (status) {
    count = static_cast<Count>(number);
  }
  return status;
}

/// Reads an optional whole number of tokens.
Status readTokens(const cJSON* object, const char* name, const std::string& path,
                  std::uint64_t& tokens) {
  double number = static_cast<double>(tokens);
  Status status = readNumber(object, name, path, 0, kMostTokens, number);
  if (status && number != std::floor(number)) {
    return jsonError(path + "/" + name, jsonMember(object, name), "a whole number");
  }
  if (status) {
    tokens = static_cast<std::uint64_t>(number);
  }
  return status;
}

/// Reads an optional duration given as a number of @p unit.
Status readDuration(const cJSON* object, const char* name, const std::string& path, Duration unit,
                    Duration& duration) {
  const auto ticks = static_cast<double>(unit.count());
  double number = static_cast<double>(duration.count()) / ticks;
  Status status = readNumber(object, name, path, 0, kMostMilliseconds, number);
  if (status) {
    duration = Duration(std::llround(number * ticks));
  }
  return status;
}

Status readFlag(const cJSON* object, const char* name, const std::string& path, bool& flag) {
  const cJSON* member = jsonMember(object, name);
  if (member == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsBool(member)) {
    return jsonError(path + "/" + name, member, "true or false");
  }
  flag = cJSON_IsTrue(member);
  return okStatus();
}

bool isPrefix(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

/// The first failure of several checks.
Status firstFailure(std::initializer_list<Status> checks) {
  for (const Status& check : checks) {
    if (!check) {
      return check.error();
    }
  }
  return okStatus();
}

}  // namespace

Result<RouteTable> RouteTable::parse(const cJSON* root) {
  RouteTable table;
  if (Status status = table.parseServices(jsonMember(root, "services")); !status) {
    return status.error();
  }
  if (Status status = table.parseRoutes(jsonMember(root, "routes")); !status) {
    return status.error();
  }
  if (Status status = table.parseBounds(jsonMember(root, "limits")); !status) {
    return status.error();
  }
  return table;
}

Status RouteTable::parseServices(const cJSON* node) {
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
    ServiceSettings& service = services_[child->string];
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

Status RouteTable::parseRoutes(const cJSON* node) {
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

Status RouteTable::parseRoute(const cJSON* node, const std::string& path) {
  if (!cJSON_IsObject(node)) {
    return jsonError(path, node, "an object");
  }
  RouteSettings route;
  route.name = node->string;
  const Result<std::string> host = jsonString(node, "host", path);
  const Result<std::string> prefix = jsonString(node, "path_prefix", path);
  const std::optional<RouteKind> kind = kindOf(jsonMember(node, "kind"));
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
  const Duration millisecond = std::chrono::milliseconds(1);
  const Duration second = std::chrono::seconds(1);
  if (Status status =
          firstFailure({readDuration(node, "timeout_ms", path, millisecond, route.timeout),
                        readDuration(node, "target_ms", path, millisecond, route.objective),
                        readDuration(node, "run_target_ms", path, millisecond, route.runObjective),
                        readDuration(node, "max_wait_s", path, second, route.maxWait),
                        readCount(node, "priority", path, route.priority),
                        readCount(node, "max_attempts", path, route.maxAttempts),
                        readTokens(node, "max_queued_tokens", path, route.maxQueuedTokens),
                        readFlag(node, "public", path, route.isPublic),
                        readFlag(node, "resumable", path, route.resumable),
                        parseRouteServices(node, path, route)});
      !status) {
    return status;
  }
  if (route.timeout == Duration{0}) {
    return jsonError(path + "/timeout_ms", jsonMember(node, "timeout_ms"), "more than 0");
  }
  const auto place = byHost_[route.host].emplace(route.pathPrefix, route.name);
  if (!place.second) {
    return jsonError(path + "/path_prefix", jsonMember(node, "path_prefix"),
                     "each prefix of a host once; it also stands in " + place.first->second);
  }
  routes_.emplace(route.name, std::move(route));
  return okStatus();
}

Status RouteTable::parseRouteServices(const cJSON* node, const std::string& path,
                                      RouteSettings& route) const {
  const cJSON* split = jsonMember(node, "traffic_split");
  if (cJSON_IsArray(split)) {
    for (const cJSON* child = split->child; child != nullptr; child = child->next) {
      WeightedService share;
      const std::string childPath = path + "/traffic_split";
      const Result<std::string> service = jsonString(child, "service", childPath);
      if (!service) {
        return service.error();
      }
      share.service = service.value();
      if (Status status = readNumber(child, "weight", childPath, 0, kMostCount, share.weight);
          !status) {
        return status;
      }
      route.services.push_back(std::move(share));
    }
  } else {
    const Result<std::string> service = jsonString(node, "service", path);
    if (!service) {
      return service.error();
    }
    route.services.push_back({service.value(), 1});
  }
  double total = 0;
  for (const WeightedService& share : route.services) {
    if (services_.count(share.service) == 0) {
      return makeError(ErrorCode::InvalidArgument, path + ": no such service: " + share.service);
    }
    total += share.weight;
  }
  if (total <= 0) {
    return makeError(ErrorCode::InvalidArgument, path + ": the weights must add up to more than 0");
  }
  return okStatus();
}

Status RouteTable::parseBounds(const cJSON* node) {
  if (node == nullptr) {
    return okStatus();
  }
  const Duration millisecond = std::chrono::milliseconds(1);
  const std::string path = "/limits";
  return firstFailure(
      {readCount(node, "max_header_bytes", path, bounds_.maxHeaderBytes),
       readCount(node, "max_body_bytes", path, bounds_.maxBodyBytes),
       readDuration(node, "header_timeout_ms", path, millisecond, bounds_.headerTimeout),
       readDuration(node, "idle_timeout_ms", path, millisecond, bounds_.idleTimeout)});
}

const RouteSettings* RouteTable::match(std::string_view host, std::string_view path) const {
  const auto prefixes = byHost_.find(host);
  if (prefixes == byHost_.end()) {
    return nullptr;
  }
  const RouteSettings* longest = nullptr;
  for (const auto& entry : prefixes->second) {
    const std::string& prefix = entry.first;
    const bool begins = path.substr(0, prefix.size()) == prefix;
    if (begins && (longest == nullptr || prefix.size() > longest->pathPrefix.size())) {
      longest = find(entry.second);
    }
  }
  return longest;
}

Duration RouteTable::shortestRunObjective() const {
  Duration shortest{0};
  for (const auto& entry : routes_) {
    const Duration due = entry.second.runObjective;
    const bool shorter = shortest == Duration{0} || due < shortest;
    shortest = due > Duration{0} && shorter ? due : shortest;
  }
  return shortest;
}

const RouteSettings* RouteTable::find(const std::string& name) const {
  const auto found = routes_.find(name);
  return found == routes_.end() ? nullptr : &found->second;
}

const ServiceSettings* RouteTable::service(const std::string& name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

}  // namespace shedshed

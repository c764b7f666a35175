#include "serving/call_target.h"

#include <algorithm>
#include <charconv>

namespace shedshed {
namespace {

constexpr std::string_view kBatchesPath = "/v1/batches";

struct FixedRoute {
  std::string_view method;
  std::string_view path;
  CallKind kind;
};
constexpr FixedRoute kFixedRoutes[] = {
    {"POST", "/v1/chat/completions", CallKind::ChatCompletion},
    {"POST", kBatchesPath, CallKind::BatchSubmit},
    {"GET", "/healthz", CallKind::Health},
    {"GET", "/readyz", CallKind::Ready},
    {"GET", "/metrics", CallKind::Metrics},
};

/// Routes below `/v1/batches/{id}`.
constexpr FixedRoute kBatchRoutes[] = {
    {"GET", "", CallKind::BatchStatus},
    {"GET", "/results", CallKind::BatchResults},
    {"GET", "/unfinished", CallKind::BatchUnfinished},
    {"POST", "/cancel", CallKind::BatchCancel},
};

CallTarget parsePath(std::string_view method, std::string_view path) {
  CallTarget target;
  for (const FixedRoute& route : kFixedRoutes) {
    if (route.method == method && route.path == path) {
      target.kind = route.kind;
      return target;
    }
  }
  if (path.substr(0, kBatchesPath.size()) != kBatchesPath ||
      path.size() <= kBatchesPath.size() + 1 || path[kBatchesPath.size()] != '/') {
    return target;
  }
  path.remove_prefix(kBatchesPath.size() + 1);
  const std::size_t idEnd = std::min(path.find('/'), path.size());
  const std::string_view rest = path.substr(idEnd);
  for (const FixedRoute& route : kBatchRoutes) {
    if (idEnd > 0 && route.method == method && route.path == rest) {
      target.kind = route.kind;
      target.batchId = std::string(path.substr(0, idEnd));
    }
  }
  return target;
}

template <class Number>
bool parseNumber(std::string_view text, Number& number) {
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

bool parseQueryParameter(std::string_view parameter, CallTarget& target) {
  const std::size_t equals = parameter.find('=');
  if (equals == std::string_view::npos) {
    return false;
  }
  const std::string_view name = parameter.substr(0, equals);
  const std::string_view value = parameter.substr(equals + 1);
  if (name == "from") {
    return parseNumber(value, target.from);
  }
  return name == "limit" && parseNumber(value, target.limit) && target.limit > 0;
}

}  // namespace

Result<CallTarget> parseCallTarget(std::string_view method, std::string_view target) {
  const std::size_t pathEnd = std::min(target.find('?'), target.size());
  CallTarget parsed = parsePath(method, target.substr(0, pathEnd));
  const bool acceptsQuery =
      parsed.kind == CallKind::BatchResults || parsed.kind == CallKind::BatchUnfinished;
  std::string_view query = target.substr(std::min(pathEnd + 1, target.size()));
  while (acceptsQuery && !query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    if (!parseQueryParameter(query.substr(0, end), parsed)) {
      return makeError(ErrorCode::InvalidArgument, "query: only from=N and limit=M are allowed");
    }
    query.remove_prefix(std::min(end + 1, query.size()));
  }
  return parsed;
}

const char* settingsRoute(CallKind kind) {
  return kind == CallKind::ChatCompletion ? "/v1/chat/completions" : "/v1/batches";
}

}  // namespace shedshed

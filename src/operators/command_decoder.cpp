#include "operators/command_decoder.h"

#include "operators/fleet_commands.h"
#include "operators/inspection_commands.h"
#include "operators/register_commands.h"
#include "operators/store_commands.h"

namespace shedshed {

namespace {

using Decoded = Result<std::unique_ptr<OperatorCommand>>;

constexpr const char* kEmptySettings = "{}";
constexpr const char* kEmptyEngines = R"({"engines":[]})";

template <class Command, class... Arguments>
Decoded make(Arguments&&... arguments) {
  return std::unique_ptr<OperatorCommand>(
      std::make_unique<Command>(std::forward<Arguments>(arguments)...));
}

Decoded getSettings(const OperatorCall& call) {
  const auto tenant = call.query.find("effective");
  if (tenant == call.query.end()) {
    return make<GetRegisterCommand>(kSettingsRegister, kEmptySettings);
  }
  const auto route = call.query.find("route");
  const std::string routeName = route == call.query.end() ? "" : route->second;
  return make<ExplainSettingsCommand>(tenant->second, routeName);
}

Decoded putRegister(const OperatorCall& call, const char* registerName) {
  Result<ChangeHeaders> headers = parseChangeHeaders(call);
  if (!headers) {
    return headers.error();
  }
  return make<PutRegisterCommand>(registerName, std::move(headers).value(), call.body);
}

Decoded patchSettings(const OperatorCall& call) {
  Result<ChangeHeaders> headers = parseChangeHeaders(call);
  if (!headers) {
    return headers.error();
  }
  return make<PatchSettingsCommand>(std::move(headers).value(), call.body);
}

struct Route {
  const char* method;
  const char* path;
  Decoded (*decode)(const OperatorCall& call);
};

constexpr Route kRoutes[] = {
    {"POST", "/v1/fleet/init",
     [](const OperatorCall& call) { return InitFleetCommand::decode(call.body); }},
    {"POST", "/v1/stores/replace",
     [](const OperatorCall& call) { return ReplaceStoreCommand::decode(call.body); }},
    {"GET", "/v1/settings", getSettings},
    {"PUT", "/v1/settings",
     [](const OperatorCall& call) { return putRegister(call, kSettingsRegister); }},
    {"PATCH", "/v1/settings", patchSettings},
    {"GET", "/v1/engines",
     [](const OperatorCall&) { return make<GetRegisterCommand>(kEnginesRegister, kEmptyEngines); }},
    {"PUT", "/v1/engines",
     [](const OperatorCall& call) { return putRegister(call, kEnginesRegister); }},
    {"GET", "/v1/members", [](const OperatorCall&) { return make<GetMembersCommand>(); }},
    {"GET", "/v1/status", [](const OperatorCall&) { return make<StatusCommand>(); }},
    {"GET", "/v1/slots", [](const OperatorCall&) { return make<SlotsCommand>(); }},
    {"GET", "/v1/batches", [](const OperatorCall&) { return make<ListBatchesCommand>(); }},
    {"GET", "/readyz", [](const OperatorCall&) { return make<ReadyCommand>(); }},
};

/// A call whose path names one object between a prefix and a suffix.
struct ObjectRoute {
  const char* method;
  std::string_view prefix;
  std::string_view suffix;
  Decoded (*decode)(std::string id);
};

/// Matched in this order, so the longer suffixes come first.
constexpr ObjectRoute kObjectRoutes[] = {
    {"POST", "/v1/batches/", "/cancel",
     [](std::string id) { return make<CancelBatchCommand>(std::move(id)); }},
    {"GET", "/v1/batches/", "",
     [](std::string id) { return make<ShowBatchCommand>(std::move(id)); }},
    {"GET", "/v1/requests/", "",
     [](std::string id) { return make<ExplainCallCommand>(std::move(id)); }},
};

/// Returns the id in @p path; nullopt if the path does not match @p route.
std::optional<std::string> parseObjectId(const std::string& path, const ObjectRoute& route) {
  const std::size_t affixSize = route.prefix.size() + route.suffix.size();
  if (path.size() <= affixSize || path.compare(0, route.prefix.size(), route.prefix) != 0 ||
      path.compare(path.size() - route.suffix.size(), route.suffix.size(), route.suffix) != 0) {
    return std::nullopt;
  }
  std::string id = path.substr(route.prefix.size(), path.size() - affixSize);
  return id.find('/') == std::string::npos ? std::optional<std::string>(std::move(id))
                                           : std::nullopt;
}

}  // namespace

Decoded decodeCommand(const OperatorCall& call) {
  for (const Route& route : kRoutes) {
    if (call.method == route.method && call.path == route.path) {
      return route.decode(call);
    }
  }
  for (const ObjectRoute& route : kObjectRoutes) {
    std::optional<std::string> id =
        call.method == route.method ? parseObjectId(call.path, route) : std::nullopt;
    if (id) {
      return route.decode(*std::move(id));
    }
  }
  return makeError(ErrorCode::NotFound, "no such call: " + call.method + " " + call.path);
}

}  // namespace shedshed

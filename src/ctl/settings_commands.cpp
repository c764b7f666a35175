#include "ctl/settings_commands.h"

#include "ctl/json_cell.h"
#include "ctl/register_change.h"
#include "settings/merge_patch.h"

namespace shedshed::ctl {

namespace {

constexpr const char* kSettingsUrl = "/v1/settings";
constexpr const char* kEnginesUrl = "/v1/engines";
constexpr const char* kNeedsBaseVersion =
    "needs --base-version: the version that the change is based on, as the get command prints it";

/// Returns @p text with everything but letters, digits and "-_." percent-encoded.
std::string percentEncoded(const std::string& text) {
  constexpr const char* kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
      encoded += character;
    } else {
      encoded += '%';
      encoded += kHexDigits[byte >> 4U];
      encoded += kHexDigits[byte & 15U];
    }
  }
  return encoded;
}

/// Replaces the register at @p url by the file that the third argument names.
ExitCode putFile(CtlContext& context, const char* url) {
  const std::string file = context.line.argument(2);
  if (file.empty()) {
    return context.output.usage("a file is required, or - for standard input");
  }
  if (!context.line.baseVersion) {
    return context.output.usage(context.line.argument(0) + " " + context.line.argument(1) + " " +
                                kNeedsBaseVersion);
  }
  const Result<std::string> value = readInput(context, file);
  if (!value) {
    return context.output.usage(value.error().detail);
  }
  FleetRequest request;
  request.method = "PUT";
  request.url = url;
  request.body = value.value();
  return sendChange(context, std::move(request));
}

/// Returns @p listing with the engine's `draining` set or removed; "" if it is already so.
Result<std::string> listingWithDraining(const std::string& listing, const std::string& id,
                                        bool draining) {
  const Result<JsonDocument> document = JsonDocument::parse(listing);
  if (!document) {
    return document.error();
  }
  cJSON* engine = nullptr;
  cJSON_ArrayForEach(engine, cJSON_GetObjectItemCaseSensitive(document.value().root(), "engines")) {
    if (cellOf(engine, "id") != id) {
      continue;
    }
    if ((cJSON_IsTrue(jsonMember(engine, "draining")) != 0) == draining) {
      return std::string();
    }
    cJSON_DeleteItemFromObjectCaseSensitive(engine, "draining");
    if (draining) {
      cJSON_AddBoolToObject(engine, "draining", 1);
    }
    return document.value().print();
  }
  return makeError(ErrorCode::NotFound, "no engine \"" + id + "\" is listed");
}

}  // namespace

ExitCode SettingsCommands::run(CtlContext& context) {
  const std::string action = context.line.argument(1);
  if (action == "get") {
    return get(context);
  }
  if (action == "set") {
    return set(context);
  }
  if (action == "patch") {
    return patch(context);
  }
  if (action == "diff") {
    return diff(context);
  }
  return context.output.usage("settings: found \"" + action + "\"; allowed: get, set, patch, diff");
}

ExitCode SettingsCommands::get(CtlContext& context) {
  if (!context.line.effective.empty()) {
    return explain(context);
  }
  return printRegister(context, kSettingsUrl);
}

ExitCode SettingsCommands::explain(CtlContext& context) {
  const std::string& path = context.line.effective;
  const std::size_t slash = path.find('/');
  const std::string tenant = path.substr(0, slash);
  const std::string route = slash == std::string::npos ? "" : path.substr(slash);
  FleetRequest request;
  request.url = std::string(kSettingsUrl) + "?effective=" + percentEncoded(tenant) +
                "&route=" + percentEncoded(route);
  const Result<FleetResponse> response = context.fleet.call(request);
  if (!response) {
    return context.output.fail(response.error());
  }
  if (context.output.isJson()) {
    context.output.line(response.value().body);
    return ExitCode::Ok;
  }
  const Result<JsonDocument> document = JsonDocument::parse(response.value().body);
  if (!document) {
    return context.output.fail(document.error());
  }
  TextTable table({"SETTING", "VALUE", "LEVEL"});
  const cJSON* values = jsonMember(document.value().root(), "values");
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, values) {
    table.add({cellOf(item, "name"), cellOf(item, "value"), cellOf(item, "level")});
  }
  context.output.table(table);
  context.output.note("version " + std::to_string(response.value().version));
  return ExitCode::Ok;
}

ExitCode SettingsCommands::set(CtlContext& context) {
  return putFile(context, kSettingsUrl);
}

ExitCode SettingsCommands::patch(CtlContext& context) {
  const std::string file = context.line.argument(2);
  if (file.empty()) {
    return context.output.usage(
        "a file with the partial tree is required, or - for standard input");
  }
  if (!context.line.orderId.empty() && !context.line.baseVersion) {
    return context.output.usage("--order-id needs the --base-version of the first attempt");
  }
  const Result<std::string> tree = readInput(context, file);
  if (!tree) {
    return context.output.usage(tree.error().detail);
  }
  FleetRequest request;
  request.method = "PATCH";
  request.url = kSettingsUrl;
  request.body = tree.value();
  if (!context.line.baseVersion) {
    FleetRequest read;
    read.url = kSettingsUrl;
    const Result<FleetResponse> current = context.fleet.call(read);
    if (!current) {
      return context.output.fail(current.error());
    }
    request.baseVersion = current.value().version;
  }
  return sendChange(context, std::move(request));
}

ExitCode SettingsCommands::diff(CtlContext& context) {
  const Result<std::string> requested = readInput(context, context.line.argument(2));
  if (!requested) {
    return context.output.usage(requested.error().detail);
  }
  FleetRequest read;
  read.url = kSettingsUrl;
  const Result<FleetResponse> current = context.fleet.call(read);
  if (!current) {
    return context.output.fail(current.error());
  }
  const Result<std::string> patch = createMergePatch(current.value().body, requested.value());
  if (!patch) {
    return context.output.usage(patch.error().detail);
  }
  if (context.output.isJson()) {
    context.output.line("{\"version\":" + std::to_string(current.value().version) +
                        ",\"patch\":" + patch.value() + "}");
    return ExitCode::Ok;
  }
  context.output.jsonIndented(patch.value());
  context.output.note("against version " + std::to_string(current.value().version));
  return ExitCode::Ok;
}

ExitCode EnginesCommands::run(CtlContext& context) {
  const std::string action = context.line.argument(1);
  if (action == "list") {
    return list(context);
  }
  if (action == "put") {
    return put(context);
  }
  if ((action == "drain" || action == "undrain") && context.line.arguments.size() == 3) {
    return setDraining(context, action == "drain");
  }
  return context.output.usage("engines: found \"" + action +
                              "\"; allowed: drain ID, list, put, undrain ID");
}

ExitCode EnginesCommands::list(CtlContext& context) {
  if (context.output.isJson()) {
    return printRegister(context, kEnginesUrl);
  }
  FleetRequest read;
  read.url = kEnginesUrl;
  const Result<FleetResponse> response = context.fleet.call(read);
  if (!response) {
    return context.output.fail(response.error());
  }
  const Result<JsonDocument> document = JsonDocument::parse(response.value().body);
  if (!document) {
    return context.output.fail(document.error());
  }
  TextTable table({"ENGINE", "ADDRESS", "MODEL", "MAX_RUNNING", "REMARK"});
  const cJSON* item = nullptr;
  cJSON_ArrayForEach(item, jsonMember(document.value().root(), "engines")) {
    table.add({cellOf(item, "id"), cellOf(item, "address"), cellOf(item, "model"),
               cellOf(item, "max_running"),
               cJSON_IsTrue(jsonMember(item, "draining")) != 0 ? "draining" : ""});
  }
  context.output.table(table);
  context.output.note("version " + std::to_string(response.value().version));
  return ExitCode::Ok;
}

ExitCode EnginesCommands::setDraining(CtlContext& context, bool draining) {
  const std::string id = context.line.argument(2);
  return changeRegister(context, "PUT", kEnginesUrl,
                        [&id, draining](const std::string& listing) -> Result<std::string> {
                          return listingWithDraining(listing, id, draining);
                        });
}

ExitCode EnginesCommands::put(CtlContext& context) {
  return putFile(context, kEnginesUrl);
}

}  // namespace shedshed::ctl

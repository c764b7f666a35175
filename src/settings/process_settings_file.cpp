#include "settings/process_settings_file.h"

#include "settings/json.h"
#include "settings/process_keys.h"
#include "settings/small_file.h"

#include <optional>

namespace shedshed {

namespace {

constexpr JsonBounds kFileBounds{64U << 10U, 3};

/// Returns the value of a key of the file as flag text; a list is joined by commas.
std::optional<std::string> flagTextOf(const cJSON* value, bool listAllowed) {
  if (cJSON_IsString(value)) {
    return std::string(value->valuestring);
  }
  if (!listAllowed || !cJSON_IsArray(value)) {
    return std::nullopt;
  }
  std::string joined;
  for (const cJSON* item = value->child; item != nullptr; item = item->next) {
    if (!cJSON_IsString(item)) {
      return std::nullopt;
    }
    joined += (item == value->child ? "" : ",") + std::string(item->valuestring);
  }
  return joined;
}

}  // namespace

Status applyProcessSettingsFile(const std::string& path, ProcessSettings& settings,
                                std::set<std::string>& given) {
  Result<std::string> text = readSmallFile(path, kFileBounds.maxBytes);
  if (!text) {
    return text.error();
  }
  Result<JsonDocument> document = JsonDocument::parse(text.value(), kFileBounds);
  if (!document) {
    return makeError(document.error().code, path + ": " + document.error().detail);
  }
  const cJSON* root = document.value().root();
  if (!cJSON_IsObject(root)) {
    return makeError(ErrorCode::InvalidArgument,
                     path + ": " + jsonError("", root, "an object").detail);
  }
  for (const cJSON* member = root->child; member != nullptr; member = member->next) {
    const std::string name = member->string;
    const ProcessKey* key = findProcessKey(name, settings.kind);
    std::string allowed = "no such key; the keys here are " + processKeyNames(settings.kind);
    bool valid = false;
    if (key != nullptr) {
      const std::optional<std::string> value = flagTextOf(member, name == "seeds");
      allowed = key->allowed;
      valid = value && key->parse(settings, *value);
    }
    if (!valid) {
      return makeError(ErrorCode::InvalidArgument,
                       path + ": " + jsonError("/" + name, member, allowed).detail);
    }
    given.insert(name);
  }
  return okStatus();
}

}  // namespace shedshed

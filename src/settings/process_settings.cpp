#include "settings/process_settings.h"

#include "settings/json.h"
#include "settings/process_flags.h"
#include "settings/process_keys.h"
#include "settings/small_file.h"

#include <map>
#include <optional>

namespace shedshed {

namespace {

constexpr const char* kVersion = "0.1.0";
constexpr JsonBounds kFileBounds{64U << 10U, 3};

/// Returns the value of a key of the file as flag text; a list is joined by commas.
std::optional<std::string> textOf(const cJSON* value, bool listAllowed) {
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

Status applyFile(const std::string& path, ProcessSettings& settings,
                 std::map<std::string, bool>& given) {
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
      const std::optional<std::string> value = textOf(member, name == "seeds");
      allowed = key->allowed;
      valid = value && key->store(settings, *value);
    }
    if (!valid) {
      return makeError(ErrorCode::InvalidArgument,
                       path + ": " + jsonError("/" + name, member, allowed).detail);
    }
    given[name] = true;
  }
  return okStatus();
}

Status checkRequired(const ProcessSettings& settings, const std::map<std::string, bool>& given) {
  for (const ProcessKey& key : processKeys()) {
    if (key.appliesTo(settings.kind) && key.required && given.count(key.name) == 0) {
      return makeError(ErrorCode::InvalidArgument,
                       "/" + std::string(key.name) + ": found nothing; allowed: " + key.allowed +
                           " (in the settings file or as --" + key.flag() + ")");
    }
  }
  const bool isStore = settings.kind == ProcessKind::Control && settings.role == ControlRole::Store;
  if (isStore && settings.dataFolder.empty()) {
    return makeError(ErrorCode::InvalidArgument,
                     "/data_folder: found nothing; required with the role \"store\" (in the "
                     "settings file or as --data-folder)");
  }
  return okStatus();
}

}  // namespace

std::string versionText(const std::string& programName) {
  return programName + " " + kVersion + "\n";
}

Result<ProcessSettings> parseProcessSettings(int argc, const char** argv, ProcessKind kind) {
  ProcessSettings settings;
  settings.kind = kind;
  ProcessFlags flags(kind);
  if (Status status = flags.read(argc, argv); !status) {
    return status.error();
  }
  if (flags.wantsHelp()) {
    settings.informationText = flags.helpText();
    return settings;
  }
  if (flags.wantsVersion()) {
    settings.informationText =
        versionText(kind == ProcessKind::Data ? "shedshed-data" : "shedshed-control");
    return settings;
  }
  std::map<std::string, bool> given;
  if (!flags.file().empty()) {
    if (Status status = applyFile(flags.file(), settings, given); !status) {
      return status.error();
    }
  }
  if (Status status = flags.apply(settings, given); !status) {
    return status.error();
  }
  if (Status status = checkRequired(settings, given); !status) {
    return status.error();
  }
  return settings;
}

}  // namespace shedshed

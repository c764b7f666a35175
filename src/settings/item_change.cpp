#include "settings/item_change.h"

#include "settings/json.h"
#include "settings/settings_parser.h"

namespace shedshed {
namespace {

/// Returns the section @p name of @p settings; adds an empty one if it is absent.
Result<cJSON*> findOrAddSection(cJSON* settings, const char* name, const std::string& path) {
  cJSON* section = cJSON_GetObjectItemCaseSensitive(settings, name);
  if (section == nullptr) {
    section = cJSON_AddObjectToObject(settings, name);
  }
  if (!cJSON_IsObject(section)) {
    return jsonError(path, section, "a section with named items");
  }
  return section;
}

Status upsertItems(cJSON* settings, const cJSON* section) {
  const std::string path = std::string("/upsert/") + section->string;
  if (!cJSON_IsObject(section)) {
    return jsonError(path, section, "an object with a member for each item");
  }
  Result<cJSON*> target = findOrAddSection(settings, section->string, path);
  if (!target) {
    return target.error();
  }
  for (const cJSON* item = section->child; item != nullptr; item = item->next) {
    cJSON* copy = cJSON_Duplicate(item, 1);
    if (cJSON_GetObjectItemCaseSensitive(target.value(), item->string) != nullptr) {
      cJSON_ReplaceItemInObjectCaseSensitive(target.value(), item->string, copy);
    } else {
      cJSON_AddItemToObject(target.value(), item->string, copy);
    }
  }
  return okStatus();
}

Status removeItems(cJSON* settings, const cJSON* section) {
  const std::string path = std::string("/remove/") + section->string;
  if (!cJSON_IsArray(section)) {
    return jsonError(path, section, "an array of names");
  }
  Result<cJSON*> target = findOrAddSection(settings, section->string, path);
  if (!target) {
    return target.error();
  }
  for (const cJSON* name = section->child; name != nullptr; name = name->next) {
    if (!cJSON_IsString(name)) {
      return jsonError(path, name, "a name");
    }
    cJSON_DeleteItemFromObjectCaseSensitive(target.value(), name->valuestring);
  }
  return okStatus();
}

/// Calls @p apply for each section of the member @p name of @p change, if it is there.
Status forEachSection(const cJSON* change, const char* name, cJSON* settings,
                      Status (*apply)(cJSON*, const cJSON*)) {
  const cJSON* sections = jsonMember(change, name);
  if (sections == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsObject(sections)) {
    return jsonError(std::string("/") + name, sections, "an object");
  }
  for (const cJSON* section = sections->child; section != nullptr; section = section->next) {
    if (Status status = apply(settings, section); !status) {
      return status;
    }
  }
  return okStatus();
}

}  // namespace

Result<std::string> applyItemChange(std::string_view current, std::string_view change) {
  Result<JsonDocument> settings = JsonDocument::parse(
      current.empty() ? std::string_view("{}") : current, SettingsParser::kBounds);
  if (!settings) {
    return settings.error();
  }
  Result<JsonDocument> requested = JsonDocument::parse(change, SettingsParser::kBounds);
  if (!requested) {
    return requested.error();
  }
  cJSON* root = settings.value().root();
  const cJSON* version = jsonMember(requested.value().root(), "version");
  if (!cJSON_IsNumber(version)) {
    return jsonError("/version", version, "the new version");
  }
  cJSON_DeleteItemFromObjectCaseSensitive(root, "version");
  cJSON_AddItemToObject(root, "version", cJSON_Duplicate(version, 1));
  if (Status status = forEachSection(requested.value().root(), "remove", root, &removeItems);
      !status) {
    return status.error();
  }
  if (Status status = forEachSection(requested.value().root(), "upsert", root, &upsertItems);
      !status) {
    return status.error();
  }
  return settings.value().print();
}

}  // namespace shedshed

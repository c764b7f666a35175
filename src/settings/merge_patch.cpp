#include "settings/merge_patch.h"

#include "settings/json.h"
#include "settings/settings_parser.h"

namespace shedshed {

namespace {

/// RFC 7396, section 2. Takes ownership of @p target and returns the patched tree. The recursion is
/// bounded by the depth of @p patch.
cJSON* mergePatch(cJSON* target, const cJSON* patch) {
  if (!cJSON_IsObject(patch)) {
    cJSON_Delete(target);
    return cJSON_Duplicate(patch, 1);
  }
  if (!cJSON_IsObject(target)) {
    cJSON_Delete(target);
    target = cJSON_CreateObject();
  }
  for (const cJSON* member = patch->child; member != nullptr; member = member->next) {
    if (cJSON_IsNull(member)) {
      cJSON_DeleteItemFromObjectCaseSensitive(target, member->string);
      continue;
    }
    cJSON* old = cJSON_DetachItemFromObjectCaseSensitive(target, member->string);
    cJSON_AddItemToObject(target, member->string, mergePatch(old, member));
  }
  return target;
}

/// Returns the patch from one object to another; both are objects.
cJSON* diffObjects(const cJSON* from, const cJSON* to) {
  cJSON* patch = cJSON_CreateObject();
  for (const cJSON* member = from->child; member != nullptr; member = member->next) {
    if (jsonMember(to, member->string) == nullptr) {
      cJSON_AddNullToObject(patch, member->string);
    }
  }
  for (const cJSON* member = to->child; member != nullptr; member = member->next) {
    const cJSON* old = jsonMember(from, member->string);
    if (old != nullptr && cJSON_Compare(old, member, 1)) {
      continue;
    }
    const bool bothObjects = cJSON_IsObject(old) && cJSON_IsObject(member);
    cJSON* change = bothObjects ? diffObjects(old, member) : cJSON_Duplicate(member, 1);
    cJSON_AddItemToObject(patch, member->string, change);
  }
  return patch;
}

/// Parses an object; an empty text counts as `{}`.
Result<JsonDocument> parseObject(std::string_view text) {
  Result<JsonDocument> document =
      JsonDocument::parse(text.empty() ? std::string_view("{}") : text, SettingsParser::kBounds);
  if (document && !cJSON_IsObject(document.value().root())) {
    return jsonError("", document.value().root(), "an object");
  }
  return document;
}

}  // namespace

Result<std::string> applyMergePatch(std::string_view target, std::string_view patch) {
  Result<JsonDocument> targetDocument = parseObject(target);
  if (!targetDocument) {
    return targetDocument.error();
  }
  Result<JsonDocument> patchDocument = parseObject(patch);
  if (!patchDocument) {
    return patchDocument.error();
  }
  const JsonDocument merged(
      mergePatch(targetDocument.value().release(), patchDocument.value().root()));
  return merged.print();
}

Result<std::string> createMergePatch(std::string_view from, std::string_view to) {
  Result<JsonDocument> fromDocument = parseObject(from);
  if (!fromDocument) {
    return fromDocument.error();
  }
  Result<JsonDocument> toDocument = parseObject(to);
  if (!toDocument) {
    return toDocument.error();
  }
  const JsonDocument patch(diffObjects(fromDocument.value().root(), toDocument.value().root()));
  return patch.print();
}

}  // namespace shedshed

#include "serving/body_json.h"

namespace shedshed {

Result<JsonDocument> parseBodyObject(std::string_view text) {
  Result<JsonDocument> document = JsonDocument::parse(text, {text.size(), kMaxBodyJsonDepth});
  if (document && !cJSON_IsObject(document.value().root())) {
    return makeError(ErrorCode::InvalidArgument, "the body must be a JSON object");
  }
  return document;
}

std::string textMember(const cJSON* object, const char* name) {
  const char* value = cJSON_GetStringValue(jsonMember(object, name));
  return value == nullptr ? std::string() : std::string(value);
}

}  // namespace shedshed

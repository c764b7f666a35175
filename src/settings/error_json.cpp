#include "settings/error_json.h"

#include "settings/json.h"

namespace shedshed {

std::string errorJson(const Error& error, const std::string& requestId) {
  const JsonDocument document = JsonDocument::object();
  cJSON* fields = cJSON_AddObjectToObject(document.root(), "error");
  cJSON_AddStringToObject(fields, "type", std::string(errorTypeName(error.code)).c_str());
  cJSON_AddStringToObject(fields, "message", error.detail.c_str());
  const Ran ran = error.code == ErrorCode::OutcomeUnknown ? Ran::Unknown : error.ran;
  cJSON_AddStringToObject(fields, "ran", std::string(ranName(ran)).c_str());
  cJSON_AddStringToObject(fields, "request_id", requestId.c_str());
  return document.print();
}

}  // namespace shedshed

#include "ctl/json_cell.h"

namespace shedshed::ctl {

std::string cellOf(const cJSON* object, const char* name) {
  const cJSON* member = jsonMember(object, name);
  if (cJSON_IsString(member)) {
    return member->valuestring;
  }
  return member == nullptr ? "-" : JsonDocument::printJson(member, false);
}

}  // namespace shedshed::ctl

#include "settings/json_fields.h"

#include <cmath>

namespace shedshed {

namespace {

/// Longest duration, in the unit of the member.
constexpr double kMaxDurationUnits = 86400000;
constexpr double kMaxTokens = 1e15;

}  // namespace

Status readNumber(const cJSON* object, const char* name, const std::string& path, double minimum,
                  double maximum, double& value) {
  const cJSON* member = jsonMember(object, name);
  if (member == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsNumber(member) || member->valuedouble < minimum || member->valuedouble > maximum) {
    return jsonError(path + "/" + name, member,
                     "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
  }
  value = member->valuedouble;
  return okStatus();
}

Status readTokens(const cJSON* object, const char* name, const std::string& path,
                  std::uint64_t& tokens) {
  double number = static_cast<double>(tokens);
  Status status = readNumber(object, name, path, 0, kMaxTokens, number);
  if (status && number != std::floor(number)) {
    return jsonError(path + "/" + name, jsonMember(object, name), "a whole number");
  }
  if (status) {
    tokens = static_cast<std::uint64_t>(number);
  }
  return status;
}

Status readDuration(const cJSON* object, const char* name, const std::string& path, Duration unit,
                    Duration& duration) {
  const auto ticks = static_cast<double>(unit.count());
  double number = static_cast<double>(duration.count()) / ticks;
  Status status = readNumber(object, name, path, 0, kMaxDurationUnits, number);
  if (status) {
    duration = Duration(std::llround(number * ticks));
  }
  return status;
}

Status readBool(const cJSON* object, const char* name, const std::string& path, bool& value) {
  const cJSON* member = jsonMember(object, name);
  if (member == nullptr) {
    return okStatus();
  }
  if (!cJSON_IsBool(member)) {
    return jsonError(path + "/" + name, member, "true or false");
  }
  value = cJSON_IsTrue(member);
  return okStatus();
}

Status firstFailure(std::initializer_list<Status> checks) {
  for (const Status& check : checks) {
    if (!check) {
      return check.error();
    }
  }
  return okStatus();
}

}  // namespace shedshed

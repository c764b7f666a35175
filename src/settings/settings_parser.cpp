#include "settings/settings_parser.h"

#include "settings/setting_field.h"

#include <algorithm>
#include <cmath>

namespace shedshed {

namespace {

bool isNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_' ||
         character == '.';
}

bool isTenantName(std::string_view name) {
  return !name.empty() && name.size() <= SettingsParser::kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool isRoute(std::string_view route) {
  return !route.empty() && route.size() <= SettingsParser::kMaxRouteBytes && route[0] == '/';
}

bool isDigest(std::string_view text) {
  return text.size() == SettingsParser::kDigestHexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string fieldNames() {
  std::string names;
  for (const SettingField& field : SettingField::all()) {
    names += (names.empty() ? "" : ", ") + field.name();
  }
  return names;
}

Status checkObject(const cJSON* node, const std::string& path, std::size_t maxMembers) {
  if (!cJSON_IsObject(node)) {
    return jsonError(path, node, "an object");
  }
  if (static_cast<std::size_t>(cJSON_GetArraySize(node)) > maxMembers) {
    return jsonError(path, node, "at most " + std::to_string(maxMembers) + " members");
  }
  return okStatus();
}

Status checkKeyArray(const cJSON* node, const std::string& path) {
  constexpr std::size_t kMaxKeys = SettingsParser::kMaxKeysPerTenant;
  if (!cJSON_IsArray(node) || static_cast<std::size_t>(cJSON_GetArraySize(node)) > kMaxKeys) {
    return jsonError(path, node, "an array of at most " + std::to_string(kMaxKeys) + " keys");
  }
  return okStatus();
}

/// Maximum members of one level; an object with more must contain an unknown key.
constexpr std::size_t kMaxLevelMembers = 64;

/// The largest whole number that a JSON number holds exactly.
constexpr double kMaxNamedVersion = 9007199254740991.0;

constexpr double kMaxPriority = 1000000;

}  // namespace

Result<SettingsTree> SettingsParser::parse(std::string_view json) {
  Result<JsonDocument> document = JsonDocument::parse(json, kBounds);
  if (!document) {
    return document.error();
  }
  const cJSON* root = document.value().root();
  if (Status status = checkObject(root, "", kMaxLevelMembers); !status) {
    return status.error();
  }
  for (const cJSON* child = root->child; child != nullptr; child = child->next) {
    const std::string name = child->string;
    Status status = okStatus();
    if (name == "fleet") {
      status = parseLevel(child, "/fleet", tree_.fleet_);
    } else if (name == "tenants") {
      status = parseTenants(child);
    } else if (name == "version") {
      status = parseVersion(child);
    } else if (name != "routes" && name != "services" && name != "limits") {
      status = jsonError(
          "/" + name, child,
          "no such key; the keys here are fleet, tenants, version, routes, services, limits");
    }
    if (!status) {
      return status.error();
    }
  }
  Result<RouteTable> routes = RouteTable::parse(root);
  if (!routes) {
    return routes.error();
  }
  tree_.routes_ = std::move(routes.value());
  return std::move(tree_);
}

Status SettingsParser::parseVersion(const cJSON* node) {
  const bool valid = cJSON_IsNumber(node) && node->valuedouble >= 1 &&
                     node->valuedouble <= kMaxNamedVersion &&
                     std::floor(node->valuedouble) == node->valuedouble;
  if (!valid) {
    return jsonError("/version", node, "a whole number from 1");
  }
  tree_.namedVersion_ = static_cast<std::uint64_t>(node->valuedouble);
  return okStatus();
}

Status SettingsParser::parsePriority(const cJSON* node, const std::string& path, Tenant& tenant) {
  if (!cJSON_IsNumber(node) || node->valuedouble < 0 || node->valuedouble > kMaxPriority) {
    return jsonError(path, node, "a whole number from 0");
  }
  tenant.priority = static_cast<std::uint32_t>(node->valuedouble);
  return okStatus();
}

Status SettingsParser::parsePlainKeys(const cJSON* node, const std::string& path,
                                      const std::string& tenantName, Tenant& tenant) {
  if (Status status = checkKeyArray(node, path); !status) {
    return status;
  }
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    if (!cJSON_IsString(child) || child->valuestring[0] == '\0') {
      return makeError(ErrorCode::InvalidArgument, path + ": a key must be a non-empty string");
    }
    ApiKey key{SettingsTree::digestOfKey(child->valuestring), false};
    if (Status status = addKey(std::move(key), path, tenantName, tenant); !status) {
      return status;
    }
  }
  return okStatus();
}

Status SettingsParser::addKey(ApiKey key, const std::string& path, const std::string& tenantName,
                              Tenant& tenant) {
  const auto inserted = pathByDigest_.emplace(key.digest, path);
  if (!inserted.second) {
    return makeError(ErrorCode::InvalidArgument,
                     path + ": each key once; it also appears at " + inserted.first->second);
  }
  if (!key.revoked) {
    tree_.tenantByDigest_.emplace(key.digest, tenantName);
  }
  tenant.keys.push_back(std::move(key));
  return okStatus();
}

Status SettingsParser::parseTenants(const cJSON* node) {
  if (Status status = checkObject(node, "/tenants", kMaxTenants); !status) {
    return status;
  }
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    const std::string path = std::string("/tenants/") + child->string;
    if (!isTenantName(child->string)) {
      return jsonError(path, child, "a tenant's name of 1 to 64 letters, digits, '-', '_' and '.'");
    }
    if (Status status = parseTenant(child, path); !status) {
      return status;
    }
  }
  return okStatus();
}

Status SettingsParser::parseTenant(const cJSON* node, const std::string& path) {
  if (Status status = checkObject(node, path, kMaxLevelMembers); !status) {
    return status;
  }
  const std::string tenantName = node->string;
  Tenant& tenant = tree_.tenants_[tenantName];
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    const std::string name = child->string;
    const std::string childPath = path + "/" + name;
    Status status = okStatus();
    if (name == "keys") {
      status = parseKeys(child, childPath, tenantName, tenant);
    } else if (name == "api_keys") {
      status = parsePlainKeys(child, childPath, tenantName, tenant);
    } else if (name == "priority") {
      status = parsePriority(child, childPath, tenant);
    } else if (name == "routes") {
      status = parseRoutes(child, childPath, tenant);
    } else {
      status =
          parseOverride(child, childPath, ", keys, api_keys, priority, routes", tenant.overrides);
    }
    if (!status) {
      return status;
    }
  }
  return okStatus();
}

Status SettingsParser::parseRoutes(const cJSON* node, const std::string& path, Tenant& tenant) {
  if (Status status = checkObject(node, path, kMaxRoutesPerTenant); !status) {
    return status;
  }
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    const std::string childPath = path + "/" + child->string;
    if (!isRoute(child->string)) {
      return jsonError(childPath, child, "a route of at most 128 bytes that starts with '/'");
    }
    if (Status status = parseLevel(child, childPath, tenant.routes[child->string]); !status) {
      return status;
    }
  }
  return okStatus();
}

Status SettingsParser::parseKeys(const cJSON* node, const std::string& path,
                                 const std::string& tenantName, Tenant& tenant) {
  if (Status status = checkKeyArray(node, path); !status) {
    return status;
  }
  std::size_t index = 0;
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    const std::string childPath = path + "/" + std::to_string(index);
    if (Status status = parseKey(child, childPath, tenantName, tenant); !status) {
      return status;
    }
    ++index;
  }
  return okStatus();
}

Status SettingsParser::parseKey(const cJSON* node, const std::string& path,
                                const std::string& tenantName, Tenant& tenant) {
  if (!cJSON_IsObject(node)) {
    return jsonError(path, node, "an object with digest and withdrawn");
  }
  ApiKey key;
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    const std::string name = child->string;
    const std::string childPath = path + "/" + name;
    if (name == "digest" && cJSON_IsString(child) && isDigest(child->valuestring)) {
      key.digest = child->valuestring;
    } else if (name == "digest") {
      return jsonError(childPath, child, "64 lower-case hexadecimal digits");
    } else if (name == "withdrawn" && cJSON_IsBool(child)) {
      key.revoked = cJSON_IsTrue(child);
    } else if (name == "withdrawn") {
      return jsonError(childPath, child, "true or false");
    } else {
      return jsonError(childPath, child, "no such key; the keys here are digest, withdrawn");
    }
  }
  if (key.digest.empty()) {
    return jsonError(path + "/digest", nullptr, "64 lower-case hexadecimal digits");
  }
  return addKey(std::move(key), path + "/digest", tenantName, tenant);
}

Status SettingsParser::parseLevel(const cJSON* node, const std::string& path,
                                  Overrides& overrides) {
  if (Status status = checkObject(node, path, kMaxLevelMembers); !status) {
    return status;
  }
  for (const cJSON* child = node->child; child != nullptr; child = child->next) {
    Status status = parseOverride(child, path + "/" + child->string, "", overrides);
    if (!status) {
      return status;
    }
  }
  return okStatus();
}

Status SettingsParser::parseOverride(const cJSON* node, const std::string& path,
                                     const std::string& otherKeys, Overrides& overrides) {
  const SettingField* field = SettingField::find(node->string);
  if (field == nullptr) {
    return jsonError(path, node, "no such key; the keys here are " + fieldNames() + otherKeys);
  }
  std::optional<double> number;
  if (cJSON_IsNumber(node)) {
    number = field->acceptNumber(node->valuedouble);
  } else if (cJSON_IsString(node)) {
    number = field->acceptName(node->valuestring);
  }
  if (!number) {
    return jsonError(path, node, field->allowed());
  }
  field->set(overrides, *number);
  return okStatus();
}

}  // namespace shedshed

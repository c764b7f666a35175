/// @file
/// Builds a `SettingsTree` from the operator's JSON.
#pragma once

#include "settings/json.h"
#include "settings/settings.h"

namespace shedshed {

/// Checks and parses one settings value. The tree is returned only when all of it is valid, so
/// that settings are never partially applied.
class SettingsParser {
 public:
  /// Limits of the text of the settings.
  static constexpr JsonBounds kBounds{4U << 20U, 16};
  static constexpr std::size_t kMaxTenants = 4096;
  static constexpr std::size_t kMaxKeysPerTenant = 1000;
  static constexpr std::size_t kMaxRoutesPerTenant = 64;
  static constexpr std::size_t kMaxNameBytes = 64;    ///< Of a tenant's name.
  static constexpr std::size_t kMaxRouteBytes = 128;  ///< Of a route.
  static constexpr std::size_t kDigestHexDigits = 64;

  /// See `SettingsTree::parse`.
  Result<SettingsTree> parse(std::string_view json);

 private:
  using Overrides = SettingsTree::Overrides;
  using Tenant = SettingsTree::Tenant;

  Status parseTenants(const cJSON* node);
  Status parseTenant(const cJSON* node, const std::string& path);
  Status parseRoutes(const cJSON* node, const std::string& path, Tenant& tenant);
  Status parseKeys(const cJSON* node, const std::string& path, const std::string& tenantName,
                   Tenant& tenant);
  Status parseKey(const cJSON* node, const std::string& path, const std::string& tenantName,
                  Tenant& tenant);
  /// Parses keys that are given in plain text; only their digests are kept.
  Status parsePlainKeys(const cJSON* node, const std::string& path, const std::string& tenantName,
                        Tenant& tenant);
  Status addKey(ApiKey key, const std::string& path, const std::string& tenantName, Tenant& tenant);
  static Status parsePriority(const cJSON* node, const std::string& path, Tenant& tenant);
  Status parseVersion(const cJSON* node);
  /// Parses a level that holds overrides and nothing else.
  static Status parseLevel(const cJSON* node, const std::string& path, Overrides& overrides);
  /// Parses one key of a level. @p otherKeys lists the other keys allowed there, for the error.
  static Status parseOverride(const cJSON* node, const std::string& path,
                              const std::string& otherKeys, Overrides& overrides);

  SettingsTree tree_;
  /// Path of every digest parsed so far, revoked or not.
  std::map<std::string, std::string> pathByDigest_;
};

}  // namespace shedshed

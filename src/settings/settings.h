/// @file
/// The typed tree of settings: fleet, tenant, route; each level inherits and overrides.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"
#include "settings/route_table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shedshed {

enum class FailMode : std::uint8_t { Open, Closed };

/// Values in force for one tenant and route, after inheritance. The member initialisers
/// are the values of keys that no level sets.
struct EffectiveSettings {
  double perSecond = 1.0;   ///< `per_s`: sustained requests per second of the tenant.
  std::uint32_t burst = 4;  ///< `burst`: slots above the sustained demand.
  Duration liveSlotTtl = std::chrono::seconds(60);
  Duration itemSlotTtl = std::chrono::seconds(70);
  Duration poll = std::chrono::milliseconds(100);
  Duration block{0};
  FailMode failMode = FailMode::Open;
  std::uint16_t refusalStatus = 429;
  Duration retryAfter = std::chrono::seconds(1);
  Duration requeueDelay = std::chrono::seconds(10);
  double routingLoadBound = 1.25;  ///< Spill over above this multiple of the mean load.
  double batchReserve = 0.1;       ///< Fraction of engine capacity reserved for live requests.
  std::uint64_t maxBodyBytes = 1U << 20U;
  std::uint32_t maxBatchItems = 600000;
};

/// An API key of a tenant. Only the digest is kept.
struct ApiKey {
  std::string digest;  ///< 64 lower-case hex digits: BLAKE2b-256 (libsodium crypto_generichash).
  bool revoked = false;
};

/// The level of the tree that a value in force came from.
enum class SettingLevel : std::uint8_t { Default, Fleet, Tenant, Route };

/// Returns "default", "fleet", "tenant" or "route".
std::string_view settingLevelName(SettingLevel level);

/// One value in force and where it came from.
struct ExplainedSetting {
  std::string name;   ///< Key as in the operator's JSON.
  std::string value;  ///< JSON text of the value.
  SettingLevel level = SettingLevel::Default;
};

/// The parsed tree. Immutable.
class SettingsTree {
 public:
  /// Checks and parses the operator's JSON. Fails with `InvalidArgument` or `TooLarge`; the detail
  /// names the path, the value and what is allowed.
  static Result<SettingsTree> parse(std::string_view json);

  /// Values in force for @p tenant on @p route; unknown names inherit from the level above.
  EffectiveSettings effective(const std::string& tenant, const std::string& route) const;

  /// Values in force for @p tenant on @p route with the level that each came from, in the order
  /// of docs/API.md.
  std::vector<ExplainedSetting> explainEffective(const std::string& tenant,
                                                 const std::string& route) const;

  /// Returns the tenant that owns the bearer key, or nullopt if it is unknown or revoked. Takes
  /// one digest and one hash lookup, regardless of the number of keys.
  std::optional<std::string> tenantOfKey(std::string_view bearerKey) const;

  /// Names of all tenants, sorted.
  std::vector<std::string> tenants() const;

  /// The version that the operator gave to these settings; 0 if none.
  std::uint64_t namedVersion() const { return namedVersion_; }

  /// Routes, services and limits of client traffic.
  const RouteTable& routes() const { return routes_; }

  /// True if any tenant is listed: then a request needs a key, unless its route is public.
  bool hasTenants() const { return !tenants_.empty(); }

  /// True if the rate of @p tenant is bounded: it or the fleet names a `per_s` above 0.
  bool hasQuota(const std::string& tenant) const;

  /// Priority of @p tenant, 0 is served first; nullopt if none is set.
  std::optional<std::uint32_t> priorityOf(const std::string& tenant) const;

  /// Returns the digest under which @p bearerKey is listed.
  static std::string digestOfKey(std::string_view bearerKey);

 private:
  /// The values that one level overrides.
  struct Overrides {
    std::optional<double> perSecond;
    std::optional<std::uint32_t> burst;
    std::optional<Duration> liveSlotTtl;
    std::optional<Duration> itemSlotTtl;
    std::optional<Duration> poll;
    std::optional<Duration> block;
    std::optional<FailMode> failMode;
    std::optional<std::uint16_t> refusalStatus;
    std::optional<Duration> retryAfter;
    std::optional<Duration> requeueDelay;
    std::optional<double> routingLoadBound;
    std::optional<double> batchReserve;
    std::optional<std::uint64_t> maxBodyBytes;
    std::optional<std::uint32_t> maxBatchItems;
  };
  struct Tenant {
    Overrides overrides;
    std::map<std::string, Overrides> routes;
    std::vector<ApiKey> keys;
    std::optional<std::uint32_t> priority;
  };
  /// The levels that apply to one tenant and route, lowest first; absent ones are left out.
  struct AppliedLevel {
    SettingLevel level;
    const Overrides* overrides;
  };
  std::vector<AppliedLevel> levelsFor(const std::string& tenant, const std::string& route) const;

  std::uint64_t namedVersion_ = 0;
  RouteTable routes_;
  Overrides fleet_;
  std::map<std::string, Tenant> tenants_;
  std::unordered_map<std::string, std::string> tenantByDigest_;  ///< Without revoked keys.

  friend class SettingsParser;
  friend class SettingField;
};

}  // namespace shedshed

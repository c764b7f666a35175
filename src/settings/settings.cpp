#include "settings/settings.h"

#include "settings/setting_field.h"
#include "settings/settings_parser.h"

#include <algorithm>
#include <array>
#include <sodium.h>

namespace shedshed {

namespace {

/// Size of a key's digest (BLAKE2b-256), in bytes.
constexpr std::size_t kDigestBytes = 32;

/// Number of times that a rejected item may be requeued before the results of its batch are due.
constexpr int kRequeuesBeforeDue = 24;

/// Lower bound of the slot TTLs that are derived from a completion objective: with a shorter TTL a
/// node would lose its slots in a short stall.
constexpr Duration kMinDerivedTtl = std::chrono::seconds(4);

}  // namespace

std::string_view settingLevelName(SettingLevel level) {
  switch (level) {
  case SettingLevel::Default:
    return "default";
  case SettingLevel::Fleet:
    return "fleet";
  case SettingLevel::Tenant:
    return "tenant";
  case SettingLevel::Route:
    return "route";
  }
  return "default";
}

Result<SettingsTree> SettingsTree::parse(std::string_view json) {
  return SettingsParser().parse(json);
}

std::vector<SettingsTree::AppliedLevel> SettingsTree::levelsFor(const std::string& tenant,
                                                                const std::string& route) const {
  std::vector<AppliedLevel> levels = {{SettingLevel::Fleet, &fleet_}};
  const auto foundTenant = tenants_.find(tenant);
  if (foundTenant == tenants_.end()) {
    return levels;
  }
  levels.push_back({SettingLevel::Tenant, &foundTenant->second.overrides});
  const auto foundRoute = foundTenant->second.routes.find(route);
  if (foundRoute != foundTenant->second.routes.end()) {
    levels.push_back({SettingLevel::Route, &foundRoute->second});
  }
  return levels;
}

EffectiveSettings SettingsTree::effective(const std::string& tenant,
                                          const std::string& route) const {
  EffectiveSettings values;
  for (const AppliedLevel& applied : levelsFor(tenant, route)) {
    for (const SettingField& field : SettingField::all()) {
      field.apply(*applied.overrides, values);
    }
  }
  // A rejected item must be requeued well before the results of its batch are due.
  const Duration due = routes_.shortestCompletionObjective();
  if (due > Duration{0}) {
    values.requeueDelay = std::min(values.requeueDelay, Duration(due / kRequeuesBeforeDue));
    // The slots held by a killed data node must expire before then, too.
    const Duration longest = std::max(Duration(due * 3 / 4), kMinDerivedTtl);
    values.liveSlotTtl = std::min(values.liveSlotTtl, longest);
    values.itemSlotTtl = std::min(values.itemSlotTtl, longest);
  }
  return values;
}

std::vector<ExplainedSetting> SettingsTree::explainEffective(const std::string& tenant,
                                                             const std::string& route) const {
  const EffectiveSettings values = effective(tenant, route);
  const std::vector<AppliedLevel> levels = levelsFor(tenant, route);
  std::vector<ExplainedSetting> explained;
  for (const SettingField& field : SettingField::all()) {
    ExplainedSetting setting{field.name(), field.valueText(values), SettingLevel::Default};
    for (const AppliedLevel& applied : levels) {
      if (field.isSet(*applied.overrides)) {
        setting.level = applied.level;
      }
    }
    explained.push_back(std::move(setting));
  }
  return explained;
}

std::optional<std::string> SettingsTree::tenantOfKey(std::string_view bearerKey) const {
  const auto found = tenantByDigest_.find(digestOfKey(bearerKey));
  if (found == tenantByDigest_.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool SettingsTree::hasQuota(const std::string& tenant) const {
  const auto found = tenants_.find(tenant);
  const std::optional<double> own =
      found == tenants_.end() ? std::nullopt : found->second.overrides.perSecond;
  return own.value_or(fleet_.perSecond.value_or(0)) > 0;
}

std::optional<std::uint32_t> SettingsTree::priorityOf(const std::string& tenant) const {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end() ? std::nullopt : found->second.priority;
}

std::vector<std::string> SettingsTree::tenants() const {
  std::vector<std::string> names;
  for (const auto& tenant : tenants_) {
    names.push_back(tenant.first);
  }
  return names;
}

std::string SettingsTree::digestOfKey(std::string_view bearerKey) {
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(bearerKey.data()), bearerKey.size(),
                     nullptr, 0);
  std::array<char, 2 * kDigestBytes + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  return std::string(hex.data());
}

}  // namespace shedshed

#include "slots/pool_rates.h"

#include <algorithm>

namespace shedshed {

SettingsPoolRates::SettingsPoolRates(ConfigurationSource& configuration) {
  configuration.subscribe(kSettingsRegister, [this](const RegisterValue& value) {
    Result<SettingsTree> parsed = SettingsTree::parse(value.value);
    if (parsed) {
      tree_ = std::move(parsed).value();
    }
  });
}

PoolRate SettingsPoolRates::rate(const PoolName& pool) const {
  std::string tenant = pool.key;
  std::string route;
  if (pool.limiter == kRouteLimiter) {
    const std::size_t separator = pool.key.find('/');
    tenant = pool.key.substr(0, separator);
    route = separator == std::string::npos ? "" : pool.key.substr(separator + 1);
  }
  const EffectiveSettings settings = tree_.effective(tenant, route);
  // Settings with routes define every rate explicitly, so a tenant without a quota is unlimited.
  const bool unlimited = !tree_.routes().empty() && !tree_.hasQuota(tenant);
  return {settings.perSecond, settings.burst, unlimited};
}

std::vector<PoolName> SettingsPoolRates::tenantPools() const {
  std::vector<PoolName> pools;
  for (const std::string& tenant : tree_.tenants()) {
    pools.push_back({kTenantLimiter, tenant});
  }
  return pools;
}

double SettingsPoolRates::batchReserve() const {
  return tree_.effective("", "").batchReserve;
}

Duration SettingsPoolRates::longestTimeToLive() const {
  const EffectiveSettings fleet = tree_.effective("", "");
  Duration longest = std::max(fleet.liveSlotTtl, fleet.itemSlotTtl);
  for (const std::string& tenant : tree_.tenants()) {
    const EffectiveSettings settings = tree_.effective(tenant, "");
    longest = std::max({longest, settings.liveSlotTtl, settings.itemSlotTtl});
  }
  return longest;
}

}  // namespace shedshed

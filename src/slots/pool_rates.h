/// @file
/// Rates of the pools, from the current settings.
#pragma once

#include "kernel/time.h"
#include "register/configuration_register.h"
#include "settings/settings.h"
#include "slots/slot_client.h"

#include <cstdint>
#include <vector>

namespace shedshed {

/// Limiters with a pool of their own.
inline constexpr const char* kTenantLimiter = "tenant";    ///< Key: tenant name.
inline constexpr const char* kRouteLimiter = "route";      ///< Key: "tenant/route".
inline constexpr const char* kBatchLimiter = "batch";      ///< Key: model.
inline constexpr const char* kQuotaLimiter = "quota";      ///< Key: tenant name; see `SlotLimit`.
inline constexpr const char* kServiceLimiter = "service";  ///< Key: service; calls of no tenant.

/// Rates that the settings define for one pool.
struct PoolRate {
  double perSecond = 0;     ///< Sustained requests per second.
  std::uint32_t burst = 0;  ///< Slots beyond those for the sustained rate.
  /// The settings define no rate: only the engines' capacity bounds the pool.
  bool unlimited = false;
};

/// Source of the current rates. Core thread only.
class PoolRateSource {
 public:
  virtual ~PoolRateSource() = default;

  /// Returns the rate of @p pool ("tenant", "route" and "quota" limiters).
  virtual PoolRate rate(const PoolName& pool) const = 0;

  /// Returns all pools that share the engines: one for each tenant.
  virtual std::vector<PoolName> tenantPools() const = 0;

  /// Share of the engines' capacity, 0 to 1, that is never lent to batches.
  virtual double batchReserve() const = 0;

  /// The longest time to live of any slot.
  virtual Duration longestTimeToLive() const = 0;
};

/// Rates from the "settings" register. A value that does not parse is ignored; the last valid one
/// stays in effect.
class SettingsPoolRates : public PoolRateSource {
 public:
  /// Subscribes to @p configuration; this object must outlive it.
  explicit SettingsPoolRates(ConfigurationSource& configuration);

  PoolRate rate(const PoolName& pool) const override;
  std::vector<PoolName> tenantPools() const override;
  double batchReserve() const override;
  Duration longestTimeToLive() const override;

 private:
  SettingsTree tree_;
};

}  // namespace shedshed

/// @file
/// Rates of the pools, from the settings in force.
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

/// Rates that the settings give one pool.
struct PoolRate {
  double perSecond = 0;     ///< Sustained requests per second.
  std::uint32_t burst = 0;  ///< Slots above the sustained need.
  bool unlimited =
      false;  ///< The settings name no rate: only the engines' capacity bounds the pool.
};

/// Rates in force. Core thread only.
class PoolRateSource {
 public:
  virtual ~PoolRateSource() = default;

  /// The rate of @p pool ("tenant" and "route" limiters).
  virtual PoolRate rate(const PoolName& pool) const = 0;

  /// All pools that share the engines: one for each tenant.
  virtual std::vector<PoolName> tenantPools() const = 0;

  /// Share of the engines' capacity, 0 to 1, that is never lent to batches.
  virtual double batchReserve() const = 0;

  /// The longest time to live of any slot.
  virtual Duration longestTimeToLive() const = 0;
};

/// Rates from the "settings" register. A value that does not parse leaves the last one in force.
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

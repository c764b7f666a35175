/// @file
/// How many numbers a pool hands out.
#pragma once

#include "engines/engine_table.h"
#include "kernel/time.h"
#include "slots/pool_rates.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace shedshed {

/// Hold time of a pool that has no measurement yet.
inline constexpr Duration kDefaultHoldTime = std::chrono::seconds(2);
/// Bounds of the hold time in force.
inline constexpr Duration kMinimumHoldTime = std::chrono::milliseconds(50);
inline constexpr Duration kMaximumHoldTime = std::chrono::minutes(10);
/// Weight of one measured hold time in the smoothed mean.
inline constexpr double kHoldTimeSmoothing = 0.1;
/// The hold time in force changes by at most this factor in one second.
inline constexpr double kHoldTimeChangePerSecond = 1.25;

/// Size of a pool and the values that it was computed from, for operators.
struct PoolSize {
  PoolName pool;
  std::uint32_t size = 0;      ///< N after scaling.
  std::uint32_t unscaled = 0;  ///< ceil(perSecond × holdTime) + burst.
  PoolRate rate;
  Duration holdTime{0};  ///< Hold time in force.
  double scale = 1;      ///< At most 1.
};

/// Returns ceil(perSecond × holdTime) + burst (Little's law).
std::uint32_t unscaledPoolSize(const PoolRate& rate, Duration holdTime);

/// A quota lets this much of its rate begin at once even without a burst: calls of a steady tenant
/// do not come evenly.
inline constexpr Duration kQuotaMinimumBurstInterval = std::chrono::milliseconds(100);

/// Returns how many requests of a quota may begin at once: its burst, and
/// `kQuotaMinimumBurstInterval` of its rate, at least one. As the numbers expire one after the
/// other at the rate, at most per second × t + this many requests begin in any time t.
std::uint32_t quotaPoolSize(const PoolRate& rate);

/// Returns the sum of `maxRunning` over the ready engines, of @p model or (empty) of all.
std::uint32_t readyEngineCapacity(const EngineTable& engines, const std::string& model = {});

/// Computes N for the pools of tenants and routes from their rates and measured hold times, scaled
/// down in proportion when the tenants' pools together pass what the ready engines run at once.
/// Core thread only.
class PoolSizer {
 public:
  /// Keeps references to both; they must outlive it.
  PoolSizer(const PoolRateSource& rates, const EngineSource& engines);

  /// N of @p pool with the reasons. A pool whose unscaled size is above 0 keeps at least 1.
  PoolSize size(const PoolName& pool) const;

  /// Records that a slot of @p pool was held for @p holdTime.
  void observeHoldTime(const PoolName& pool, Duration holdTime);

  /// Takes over the hold time that the owner of @p pool reported.
  void adoptHoldTime(const PoolName& pool, Duration holdTime);

  /// Moves the hold times in force toward the measured means, and renews the scale.
  void update(Duration elapsed);

  /// Hold time in force.
  Duration holdTime(const PoolName& pool) const;

 private:
  struct Measurement {
    double meanSeconds = 0;
    double effectiveSeconds = 0;
  };
  using Key = std::pair<std::string, std::string>;

  double computeScale() const;
  Measurement& measurement(const PoolName& pool);

  const PoolRateSource& rates_;
  const EngineSource& engines_;
  std::map<Key, Measurement> measurements_;
  double scale_ = 1;
};

}  // namespace shedshed

/// @file
/// Computes how many numbers a pool may grant.
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

/// Hold time assumed for a pool without a measurement.
inline constexpr Duration kDefaultHoldTime = std::chrono::seconds(2);
/// Bounds of the effective hold time.
inline constexpr Duration kMinimumHoldTime = std::chrono::milliseconds(50);
inline constexpr Duration kMaximumHoldTime = std::chrono::minutes(10);
/// Weight of one measured hold time in the smoothed mean.
inline constexpr double kHoldTimeSmoothing = 0.1;
/// The effective hold time changes by at most this factor in one second.
inline constexpr double kHoldTimeChangePerSecond = 1.25;

/// Size of a pool and the values that it was computed from, for operators.
struct PoolSize {
  PoolName pool;
  std::uint32_t size = 0;      ///< N after scaling.
  std::uint32_t unscaled = 0;  ///< ceil(perSecond × holdTime) + burst.
  PoolRate rate;
  Duration holdTime{0};  ///< Effective hold time.
  double scale = 1;      ///< At most 1.
};

/// Returns ceil(perSecond × holdTime) + burst (Little's law).
std::uint32_t unscaledPoolSize(const PoolRate& rate, Duration holdTime);

/// A quota admits the requests that its rate allows in this interval at once, even without a burst:
/// the calls of a steady tenant do not arrive at regular intervals.
inline constexpr Duration kQuotaMinimumBurstInterval = std::chrono::milliseconds(100);

/// Returns how many requests of a quota may start at once: its burst plus what its rate allows in
/// `kQuotaMinimumBurstInterval`, which counts as at least one. Since the numbers expire one after
/// the other at the rate, at most perSecond × t + this many requests start in any interval t.
std::uint32_t quotaPoolSize(const PoolRate& rate);

/// Returns the sum of `maxRunning` over the ready engines of @p model, or over all if it is empty.
std::uint32_t readyEngineCapacity(const EngineTable& engines, const std::string& model = {});

/// Computes N for the pools of tenants and routes from their rates and measured hold times, scaled
/// down in proportion when the tenants' pools together exceed the capacity of the ready engines.
/// Core thread only.
class PoolSizer {
 public:
  /// Keeps references to both; they must outlive it.
  PoolSizer(const PoolRateSource& rates, const EngineSource& engines);

  /// Returns the size of @p pool and the values that it was computed from. A pool whose unscaled
  /// size is above 0 keeps at least 1.
  PoolSize size(const PoolName& pool) const;

  /// Records that a slot of @p pool was held for @p holdTime.
  void observeHoldTime(const PoolName& pool, Duration holdTime);

  /// Replaces the hold time of @p pool with the one that its owner reported.
  void adoptHoldTime(const PoolName& pool, Duration holdTime);

  /// Moves the effective hold times toward the measured means, and recomputes the scale.
  void update(Duration elapsed);

  /// Effective hold time.
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

#include "slots/pool_sizer.h"

#include <algorithm>
#include <cmath>

namespace shedshed {
namespace {

/// Keeps floating-point error from rounding a product such as 0.1 × 30 past its exact integer
/// value.
constexpr double kRoundingTolerance = 1e-9;

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double boundedSeconds(Duration holdTime) {
  return std::clamp(seconds(holdTime), seconds(kMinimumHoldTime), seconds(kMaximumHoldTime));
}

}  // namespace

std::uint32_t unscaledPoolSize(const PoolRate& rate, Duration holdTime) {
  const double sustained = std::ceil(rate.perSecond * seconds(holdTime) - kRoundingTolerance);
  return static_cast<std::uint32_t>(std::max(0.0, sustained)) + rate.burst;
}

std::uint32_t quotaPoolSize(const PoolRate& rate) {
  const double minimumBurst =
      std::floor(rate.perSecond * seconds(kQuotaMinimumBurstInterval) + kRoundingTolerance);
  return static_cast<std::uint32_t>(std::max(1.0, minimumBurst)) + rate.burst;
}

std::uint32_t readyEngineCapacity(const EngineTable& engines, const std::string& model) {
  std::uint32_t capacity = 0;
  for (const EngineInfo& engine : engines.engines) {
    if (engine.state == EngineState::Ready && (model.empty() || engine.model == model)) {
      capacity += engine.maxRunning;
    }
  }
  return capacity;
}

PoolSizer::PoolSizer(const PoolRateSource& rates, const EngineSource& engines)
    : rates_(rates), engines_(engines) {}

PoolSize PoolSizer::size(const PoolName& pool) const {
  PoolSize result;
  result.pool = pool;
  result.rate = rates_.rate(pool);
  result.holdTime = holdTime(pool);
  result.scale = scale_;
  if (result.rate.unlimited) {
    result.unscaled = std::max(readyEngineCapacity(*engines_.table()), 1U);
    result.size = result.unscaled;
    return result;
  }
  result.unscaled = unscaledPoolSize(result.rate, result.holdTime);
  const double scaled = std::floor(result.unscaled * scale_ + kRoundingTolerance);
  const std::uint32_t least = std::min(result.unscaled, 1U);
  result.size = std::max(static_cast<std::uint32_t>(scaled), least);
  return result;
}

void PoolSizer::observeHoldTime(const PoolName& pool, Duration holdTime) {
  Measurement& measured = measurement(pool);
  measured.meanSeconds += kHoldTimeSmoothing * (boundedSeconds(holdTime) - measured.meanSeconds);
}

void PoolSizer::adoptHoldTime(const PoolName& pool, Duration holdTime) {
  const double reported = boundedSeconds(holdTime);
  measurements_[{pool.limiter, pool.key}] = {reported, reported};
}

void PoolSizer::update(Duration elapsed) {
  const double factor = std::pow(kHoldTimeChangePerSecond, seconds(elapsed));
  for (auto& entry : measurements_) {
    Measurement& measured = entry.second;
    const double lowest = measured.effectiveSeconds / factor;
    const double highest = measured.effectiveSeconds * factor;
    measured.effectiveSeconds = std::clamp(measured.meanSeconds, lowest, highest);
  }
  scale_ = computeScale();
}

Duration PoolSizer::holdTime(const PoolName& pool) const {
  const auto found = measurements_.find({pool.limiter, pool.key});
  if (found == measurements_.end()) {
    return kDefaultHoldTime;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(found->second.effectiveSeconds));
}

/// Does not scale without a ready engine: routing rejects such a call with a specific error, and an
/// owner whose engine table is still empty must not reject it first.
double PoolSizer::computeScale() const {
  const std::uint32_t capacity = readyEngineCapacity(*engines_.table());
  std::uint64_t total = 0;
  for (const PoolName& pool : rates_.tenantPools()) {
    const PoolRate rate = rates_.rate(pool);
    total += rate.unlimited ? 0 : unscaledPoolSize(rate, holdTime(pool));
  }
  if (capacity == 0 || total <= capacity) {
    return 1;
  }
  return static_cast<double>(capacity) / static_cast<double>(total);
}

PoolSizer::Measurement& PoolSizer::measurement(const PoolName& pool) {
  const double initial = seconds(kDefaultHoldTime);
  return measurements_.try_emplace({pool.limiter, pool.key}, Measurement{initial, initial})
      .first->second;
}

}  // namespace shedshed

#include "slots/pool_capacity.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shedshed {

void PoolCapacity::applyLendingLimit(const LendingLimit& limit) {
  ModelLendingLimit& current = lendingLimits_[limit.model];
  const auto received = std::make_pair(limit.epoch, limit.number);
  if (received <= std::make_pair(current.epoch, current.number)) {
    return;
  }
  current = {limit.epoch, limit.number, limit.size,
             environment_.context.now() + kLendingLimitLifetime};
}

std::uint32_t PoolCapacity::size(const PoolName& name) const {
  if (name.limiter == kQuotaLimiter) {
    return quotaPoolSize(environment_.rates.rate(name));
  }
  if (name.limiter == kServiceLimiter) {
    return std::max(readyEngineCapacity(*environment_.engines.table(), name.key), 1U);
  }
  if (name.limiter == kBatchLimiter) {
    return batchPoolSize(name.key);
  }
  return sizer_.size(name).size;
}

std::uint32_t PoolCapacity::batchPoolSize(const std::string& model) const {
  const auto limit = lendingLimits_.find(model);
  if (limit == lendingLimits_.end() || environment_.context.now() > limit->second.validUntil) {
    return 0;
  }
  return std::min(limit->second.size, readyEngineCapacity(*environment_.engines.table(), model));
}

/// Batch items take numbers above those of the tenant's live calls, up to the lent capacity. A
/// batch thus neither takes a slot from a live call nor waits while engines are idle.
NumberRange PoolCapacity::grantableNumbers(const PoolName& name, SlotClass serviceClass) const {
  const std::uint32_t poolSize = size(name);
  if (serviceClass == SlotClass::Live || name.limiter != kTenantLimiter) {
    return {0, poolSize};
  }
  const std::uint32_t lent = lendableCapacity();
  if (lent == 0) {
    return {0, static_cast<std::uint32_t>(std::ceil(poolSize * kItemShareOfTenantPool))};
  }
  // If there is only one tenant, a smaller share would only leave capacity idle.
  const double share = environment_.rates.tenantPools().size() > 1 ? kItemShareOfLentCapacity : 1.0;
  return {poolSize, static_cast<std::uint32_t>(std::ceil(lent * share))};
}

std::uint32_t PoolCapacity::lendableCapacity() const {
  std::uint32_t capacity = 0;
  for (const auto& [model, limit] : lendingLimits_) {
    capacity += environment_.context.now() <= limit.validUntil ? limit.size : 0;
  }
  return capacity;
}

}  // namespace shedshed

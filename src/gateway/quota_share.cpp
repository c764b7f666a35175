#include "gateway/quota_share.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Capacity of the bucket of a recently refused tenant, in seconds of its rate.
constexpr double kThrottledBurstSeconds = 0.2;

}  // namespace

bool QuotaShare::wasRecentlyRefused(const std::string& tenant, Time now) const {
  const auto found = refusals_.find(tenant);
  return found != refusals_.end() && now - found->second < kRefusalRetention;
}

bool QuotaShare::tryAcquire(const std::string& tenant, const SharedQuota& quota, Time now) {
  const auto dataNodes = static_cast<double>(std::max<std::size_t>(quota.dataNodes, 1));
  const double rate = quota.perSecond / dataNodes;
  const double burst =
      wasRecentlyRefused(tenant, now) ? rate * kThrottledBurstSeconds : quota.burst / dataNodes;
  const double capacity = std::max(burst, 1.0);
  const auto [found, isNew] = buckets_.try_emplace(tenant, Bucket{capacity, now});
  Bucket& bucket = found->second;
  const double elapsed = std::chrono::duration<double>(now - bucket.refilledAt).count();
  bucket.tokens = std::min(capacity, bucket.tokens + elapsed * rate);
  bucket.refilledAt = now;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace shedshed

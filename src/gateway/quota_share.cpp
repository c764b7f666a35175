#include "gateway/quota_share.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Time for which the bucket of a tenant at its limit collects its share.
constexpr double kSecondsHeld = 0.2;

}  // namespace

bool QuotaShare::wasRefused(const std::string& tenant, Time now) const {
  const auto found = refusals_.find(tenant);
  return found != refusals_.end() && now - found->second < kRefusalMemory;
}

bool QuotaShare::take(const std::string& tenant, const SharedQuota& quota, Time now) {
  const auto fronts = static_cast<double>(std::max<std::size_t>(quota.fronts, 1));
  const double rate = quota.perSecond / fronts;
  const double held = wasRefused(tenant, now) ? rate * kSecondsHeld : quota.burst / fronts;
  const double capacity = std::max(held, 1.0);
  const auto [found, isNew] = buckets_.try_emplace(tenant, Bucket{capacity, now});
  Bucket& bucket = found->second;
  const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
  bucket.tokens = std::min(capacity, bucket.tokens + elapsed * rate);
  bucket.filledAt = now;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace shedshed

#include "gateway/quota_share.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Time for which a bucket collects its share.
constexpr double kSecondsHeld = 0.2;

}  // namespace

bool QuotaShare::take(const std::string& tenant, double perSecond, std::size_t fronts, Time now) {
  const double share = perSecond / static_cast<double>(std::max<std::size_t>(fronts, 1));
  const double capacity = std::max(share * kSecondsHeld, 1.0);
  const auto [found, isNew] = buckets_.try_emplace(tenant, Bucket{1.0, now});
  Bucket& bucket = found->second;
  if (!isNew) {
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(capacity, bucket.tokens + elapsed * share);
    bucket.filledAt = now;
  }
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace shedshed

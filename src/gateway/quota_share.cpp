#include "gateway/quota_share.h"

#include <algorithm>

namespace shedshed {

bool QuotaShare::take(const std::string& tenant, double perSecond, double burst, std::size_t fronts,
                      Time now) {
  const double share = 1.0 / static_cast<double>(std::max<std::size_t>(fronts, 1));
  const double capacity = std::max(burst * share, 1.0);
  const auto [found, isNew] = buckets_.try_emplace(tenant, Bucket{capacity, now});
  Bucket& bucket = found->second;
  if (!isNew) {
    const double elapsed = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.tokens = std::min(capacity, bucket.tokens + elapsed * perSecond * share);
    bucket.filledAt = now;
  }
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace shedshed

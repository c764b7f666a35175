/// @file
/// Local rate limit that a data node applies while the store of a quota does not answer.
#pragma once

#include "kernel/time.h"

#include <map>
#include <string>

namespace shedshed {

/// A tenant's configured quota, and the number of data nodes that share it.
struct SharedQuota {
  double perSecond = 0;
  double burst = 0;
  std::size_t dataNodes = 1;
};

/// Token bucket per tenant with this node's share of the tenant's rate and burst.
///
/// A tenant whose quota was exhausted within the last `kRefusalRetention` gets no burst: it may
/// have used its whole quota just before the store stopped answering, and a further burst on every
/// node would exceed the quota. Not thread-safe.
class QuotaShare {
 public:
  /// Time for which a refusal is remembered: the longest quota window.
  static constexpr Duration kRefusalRetention = std::chrono::seconds(6);

  /// Takes one token. Returns false if this node's share is exhausted.
  bool tryAcquire(const std::string& tenant, const SharedQuota& quota, Time now);

  /// Records that the store rejected a call because the tenant's quota was exhausted.
  void recordRefusal(const std::string& tenant, Time now) { refusals_[tenant] = now; }

 private:
  struct Bucket {
    double tokens = 0;
    Time refilledAt{};
  };
  bool wasRecentlyRefused(const std::string& tenant, Time now) const;

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Time> refusals_;  ///< Time of each tenant's last refusal.
};

}  // namespace shedshed

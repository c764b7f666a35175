/// @file
/// What a front may admit by itself while the store of a quota does not answer.
#pragma once

#include "kernel/time.h"

#include <map>
#include <string>

namespace shedshed {

/// What the settings say of a tenant's quota, and among how many fronts it is shared.
struct SharedQuota {
  double perSecond = 0;
  double burst = 0;
  std::size_t dataNodes = 1;
};

/// A token bucket per tenant that holds this front's share of the tenant's rate and burst.
///
/// The bucket of a tenant that was refused a number of its quota within `kRefusalMemory` holds no
/// burst: its numbers may all have been taken just before the store fell silent, and a burst of all
/// fronts on top of them would break the quota. Not thread-safe.
class QuotaShare {
 public:
  /// Time for which a refusal counts: the longest window of a quota.
  static constexpr Duration kRefusalRetention = std::chrono::seconds(6);

  /// Takes one token.
  /// @return false if the share is used up
  bool tryAcquire(const std::string& tenant, const SharedQuota& quota, Time now);

  /// The store has refused a number of the tenant's quota.
  void recordRefusal(const std::string& tenant, Time now) { refusals_[tenant] = now; }

 private:
  struct Bucket {
    double tokens = 0;
    Time refilledAt{};
  };
  bool wasRecentlyRefused(const std::string& tenant, Time now) const;

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Time> refusals_;  ///< The last one of each tenant.
};

}  // namespace shedshed

/// @file
/// What a front may admit by itself while the store of a quota does not answer.
#pragma once

#include "kernel/time.h"

#include <map>
#include <string>

namespace shedshed {

/// A token bucket per tenant that fills with this front's share of the tenant's rate. It starts
/// with one token and holds hardly more: the quota's numbers may all have been taken just before
/// the store fell silent, and a burst of all fronts on top of them would break the quota. Not
/// thread-safe.
class QuotaShare {
 public:
  /// Takes one token. @p fronts is the number of fronts that share the quota.
  /// @return false if the share is used up
  bool take(const std::string& tenant, double perSecond, std::size_t fronts, Time now);

 private:
  struct Bucket {
    double tokens = 0;
    Time filledAt{};
  };
  std::map<std::string, Bucket> buckets_;
};

}  // namespace shedshed

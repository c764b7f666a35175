/// @file
/// The newest point in time at which a node's configuration is proved to have been current.
#pragma once

#include "kernel/core.h"

#include <atomic>

namespace shedshed {

/// Time for which a proof allows a node to accept new calls. Bounds how long a withdrawn key stays
/// valid.
inline constexpr Duration kFreshnessLease = std::chrono::seconds(4);

/// The newest proof and its lease. Core thread only, except `freshUntil`.
class FreshnessProof {
 public:
  explicit FreshnessProof(CoreContext& context);

  /// Records that all values were current at @p moment of this node's clock. Older moments than the
  /// recorded one have no effect.
  void record(Time moment);

  /// True if there is a proof that has not expired.
  bool isValid() const;

  /// True if this process never had a proof.
  bool neverProved() const { return provedAt_ == Time::min(); }

  /// Age of the newest proof. There must be one.
  Duration age() const { return context_.now() - provedAt_; }

  /// End of the lease. Any thread.
  Time freshUntil() const;

 private:
  CoreContext& context_;
  Time provedAt_ = Time::min();
  std::atomic<Duration::rep> freshUntil_;
};

}  // namespace shedshed

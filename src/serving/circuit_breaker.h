/// @file
/// Circuit breaker that stops calls to an engine after consecutive failures.
#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// Consecutive failures that open a breaker.
inline constexpr std::uint32_t kBreakerFailureThreshold = 3;

/// Time that a breaker first stays open; doubles with each failed trial call.
inline constexpr Duration kBreakerInitialOpenDuration = std::chrono::seconds(1);

/// Upper limit of the time that a breaker stays open.
inline constexpr Duration kBreakerMaxOpenDuration = std::chrono::seconds(30);

/// Circuit breaker of one engine: closed, open for a time, then half-open for one trial call.
class CircuitBreaker {
 public:
  /// Returns true if a call may be sent at @p now.
  bool allows(Time now) const;

  /// Records that a call was sent. In the half-open state it is the trial call.
  void onStarted(Time now);

  void onSucceeded();
  void onFailed(Time now);

  /// Records that a call ended without evidence about the engine's health.
  void onInconclusive() { trialInFlight_ = false; }

 private:
  std::uint32_t failures_ = 0;
  Duration openDuration_{0};
  Time openUntil_{};
  bool trialInFlight_ = false;
};

}  // namespace shedshed

/// @file
/// Keeps calls away from an engine that has just failed several times.
#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace shedshed {

/// Consecutive failures that open a breaker.
inline constexpr std::uint32_t kBreakerFailureThreshold = 3;

/// First pause of an open breaker; doubles with each failed trial.
inline constexpr Duration kBreakerInitialOpenDuration = std::chrono::seconds(1);

/// Longest pause of an open breaker.
inline constexpr Duration kBreakerMaxOpenDuration = std::chrono::seconds(30);

/// Circuit breaker of one engine: closed, open for a pause, then half-open for one trial call.
class CircuitBreaker {
 public:
  /// True if a call may be sent at @p now.
  bool allows(Time now) const;

  /// Notes that a call was sent. Past the pause it is the one trial.
  void onStarted(Time now);

  void onSucceeded();
  void onFailed(Time now);

  /// Notes that a call ended without telling anything of the engine's health.
  void onInconclusive() { trialInFlight_ = false; }

 private:
  std::uint32_t failures_ = 0;
  Duration openDuration_{0};
  Time openUntil_{};
  bool trialInFlight_ = false;
};

}  // namespace shedshed

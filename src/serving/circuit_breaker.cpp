#include "serving/circuit_breaker.h"

#include <algorithm>

namespace shedshed {

bool CircuitBreaker::allows(Time now) const {
  if (failures_ < kBreakerFailureThreshold) {
    return true;
  }
  return now >= openUntil_ && !trialInFlight_;
}

void CircuitBreaker::onStarted(Time now) {
  if (failures_ >= kBreakerFailureThreshold && now >= openUntil_) {
    trialInFlight_ = true;
  }
}

void CircuitBreaker::onSucceeded() {
  failures_ = 0;
  openDuration_ = Duration::zero();
  trialInFlight_ = false;
}

void CircuitBreaker::onFailed(Time now) {
  trialInFlight_ = false;
  ++failures_;
  if (failures_ < kBreakerFailureThreshold || now < openUntil_) {
    return;
  }
  openDuration_ = openDuration_ == Duration::zero()
                      ? kBreakerInitialOpenDuration
                      : std::min(openDuration_ * 2, kBreakerMaxOpenDuration);
  openUntil_ = now + openDuration_;
}

}  // namespace shedshed

#include "register/freshness_proof.h"

namespace shedshed {

FreshnessProof::FreshnessProof(CoreContext& context)
    : context_(context), freshUntil_(Time::min().time_since_epoch().count()) {}

void FreshnessProof::record(Time moment) {
  if (moment <= provedAt_) {
    return;
  }
  if (!isValid()) {
    context_.logEvent(TraceEvent("ConfigurationLeaseAcquired"));
  }
  provedAt_ = moment;
  freshUntil_.store((moment + kFreshnessLease).time_since_epoch().count(),
                    std::memory_order_release);
}

bool FreshnessProof::isValid() const {
  return !neverProved() && context_.now() < provedAt_ + kFreshnessLease;
}

Time FreshnessProof::freshUntil() const {
  return Time(Duration(freshUntil_.load(std::memory_order_acquire)));
}

}  // namespace shedshed

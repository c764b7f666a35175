#include "batch/item_admission.h"

#include <algorithm>

namespace shedshed {

bool ItemAdmission::mayRequest(Time now) const {
  if (now < pausedUntil_ || requestsInFlight_ >= maxRequestsInFlight_) {
    return false;
  }
  if (share_) {
    const bool mayProbe = requestsInFlight_ == 0 && now - shareSince_ >= kShareProbeInterval;
    return requestsInFlight_ + slotsInUse_ < *share_ || mayProbe;
  }
  return !window_ || requestsInFlight_ + slotsInUse_ < windowAt(now);
}

void ItemAdmission::granted(std::uint32_t maxRequests) {
  --requestsInFlight_;
  ++slotsInUse_;
  rejections_ = 0;
  maxRequestsInFlight_ = std::min(2 * maxRequestsInFlight_, maxRequests);
}

void ItemAdmission::rejected(Time now, Duration pause) {
  --requestsInFlight_;
  if (share_) {
    ++rejections_;
    maxRequestsInFlight_ = std::max(maxRequestsInFlight_ / 2, 1U);
    pausedUntil_ = std::max(pausedUntil_, now + pause);
    return;
  }
  maxRequestsInFlight_ = 1;
  if (slotsInUse_ == 0) {
    window_.reset();
    pausedUntil_ = std::max(pausedUntil_, now + pause);
    return;
  }
  window_ = static_cast<std::uint32_t>(slotsInUse_ * kWindowDecreaseFactor);
  windowSince_ = now;
}

void ItemAdmission::setShare(std::uint32_t slots, std::uint32_t free, Time now) {
  const std::uint32_t withFreeSlots = requestsInFlight_ + slotsInUse_ + free / kFreeSlotsDivisor;
  share_ = free >= kFreeSlotsDivisor ? std::max(slots, withFreeSlots) : slots;
  shareSince_ = now;
}

Duration ItemAdmission::retryDelay(Duration maxDelay) const {
  constexpr std::uint32_t kMaxDoublings = 1;
  return std::min(maxDelay, kInitialShareBackoff * (1U << std::min(rejections_, kMaxDoublings)));
}

void ItemAdmission::released() {
  --slotsInUse_;
}

void ItemAdmission::pause(Time until) {
  pausedUntil_ = std::max(pausedUntil_, until);
  maxRequestsInFlight_ = 1;
}

std::uint32_t ItemAdmission::windowAt(Time now) const {
  const auto growth = (now - windowSince_) / growthInterval_;
  return *window_ + static_cast<std::uint32_t>(std::max<std::int64_t>(0, growth));
}

}  // namespace shedshed

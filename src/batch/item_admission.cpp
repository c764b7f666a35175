#include "batch/item_admission.h"

#include <algorithm>

namespace shedshed {

bool ItemAdmission::mayRequest(Time now) const {
  if (now < pausedUntil_ || acquiring_ >= acquireLimit_) {
    return false;
  }
  if (share_) {
    const bool probes = acquiring_ == 0 && now - shareSince_ >= kShareProbeInterval;
    return acquiring_ + holding_ < *share_ || probes;
  }
  return !window_ || acquiring_ + holding_ < windowAt(now);
}

void ItemAdmission::granted(std::uint32_t most) {
  --acquiring_;
  ++holding_;
  rejections_ = 0;
  acquireLimit_ = std::min(2 * acquireLimit_, most);
}

void ItemAdmission::rejected(Time now, Duration pause) {
  --acquiring_;
  if (share_) {
    ++rejections_;
    acquireLimit_ = std::max(acquireLimit_ / 2, 1U);
    pausedUntil_ = std::max(pausedUntil_, now + pause);
    return;
  }
  acquireLimit_ = 1;
  if (holding_ == 0) {
    window_.reset();
    pausedUntil_ = std::max(pausedUntil_, now + pause);
    return;
  }
  window_ = static_cast<std::uint32_t>(holding_ * kWindowKeptShare);
  windowSince_ = now;
}

void ItemAdmission::setShare(std::uint32_t slots, std::uint32_t free, Time now) {
  const std::uint32_t besides = acquiring_ + holding_ + free / kFreePart;
  share_ = free >= kFreePart ? std::max(slots, besides) : slots;
  shareSince_ = now;
}

Duration ItemAdmission::retryDelay(Duration most) const {
  constexpr std::uint32_t kMostDoublings = 1;
  return std::min(most, kShareRetry * (1U << std::min(rejections_, kMostDoublings)));
}

void ItemAdmission::released() {
  --holding_;
}

void ItemAdmission::pause(Time until) {
  pausedUntil_ = std::max(pausedUntil_, until);
  acquireLimit_ = 1;
}

std::uint32_t ItemAdmission::windowAt(Time now) const {
  const auto growth = (now - windowSince_) / growthInterval_;
  return *window_ + static_cast<std::uint32_t>(std::max<std::int64_t>(0, growth));
}

}  // namespace shedshed

#include "batch/item_admission.h"

#include <algorithm>

namespace shedshed {

bool ItemAdmission::mayAsk(Time now) const {
  if (now < pausedUntil_ || acquiring_ >= acquireLimit_) {
    return false;
  }
  return !window_ || acquiring_ + holding_ < windowAt(now);
}

void ItemAdmission::granted(std::uint32_t most) {
  --acquiring_;
  ++holding_;
  acquireLimit_ = std::min(2 * acquireLimit_, most);
}

void ItemAdmission::refused(Time now, Duration pause) {
  --acquiring_;
  acquireLimit_ = 1;
  if (holding_ == 0) {
    window_.reset();
    pausedUntil_ = std::max(pausedUntil_, now + pause);
    return;
  }
  window_ = static_cast<std::uint32_t>(holding_ * kWindowKeptShare);
  windowSince_ = now;
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

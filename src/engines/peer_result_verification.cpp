#include "engines/peer_result_verification.h"

namespace shedshed {

bool PeerResultVerification::detectStall(Time now) {
  const bool stalled = stallDetector_.tick(now);
  if (stalled) {
    recheckUntil_ = now + options_.recheckTime;
  }
  return stalled;
}

bool PeerResultVerification::start(Time now) {
  const bool checkNow = !active(now) || recheckUntil_ > now;
  activeUntil_ = now + options_.verificationTime;
  return checkNow;
}

void PeerResultVerification::extendFreshness(Time now) {
  if (now >= recheckUntil_) {
    const Time until = now + options_.stallTimeout();
    freshUntil_.store(until.time_since_epoch().count());
  }
}

}  // namespace shedshed

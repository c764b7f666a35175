/// @file
/// Times that the renewal and the release of slots share on the holder's side.
#pragma once

#include "slots/slot_messages.h"

namespace shedshed {

/// Interval of the holder's housekeeping while it holds or releases anything.
inline constexpr Duration kHolderTick = std::chrono::milliseconds(250);

/// The time for which the owner keeps the slot of @p claim after each renewal.
inline Duration timeToLive(const SlotClaim& claim) {
  return std::chrono::milliseconds(claim.timeToLiveMilliseconds);
}

}  // namespace shedshed

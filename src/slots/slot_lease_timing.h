/// @file
/// Timing shared by the renewal and the release of slots on the holder's side.
#pragma once

#include "slots/slot_messages.h"

namespace shedshed {

/// Interval at which a holder sends the renewals and releases that are due.
inline constexpr Duration kHolderTick = std::chrono::milliseconds(250);

/// The time for which the owner keeps the slot of @p claim after each renewal.
inline Duration timeToLive(const SlotClaim& claim) {
  return std::chrono::milliseconds(claim.timeToLiveMilliseconds);
}

}  // namespace shedshed

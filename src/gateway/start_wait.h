/// @file
/// Calls that arrive before a process that has just started knows what it needs.
#pragma once

#include "kernel/time.h"

namespace shedshed {

/// A process counts as starting for this long. Later a missing proof is an outage, and the caller
/// is told at once to come back.
inline constexpr Duration kStartupPeriod = std::chrono::seconds(3);
/// A call waits at most this long for the start to end. After the loss of all processes the first
/// proof and the first list of engines come within about this time.
inline constexpr Duration kMaxStartWait = std::chrono::milliseconds(700);
/// Time between two looks.
inline constexpr Duration kStartWaitPollInterval = std::chrono::milliseconds(20);

/// @return true if a call that arrived at @p arrived may wait for another `kStartWaitStep` at @p
/// now in a process that was started at @p started
inline bool mayWaitForStart(Time started, Time arrived, Time now) {
  return now < started + kStartupPeriod && now + kStartWaitPollInterval <= arrived + kMaxStartWait;
}

}  // namespace shedshed

/// @file
/// Bounded wait of calls that arrive while the process is starting and not yet ready.
#pragma once

#include "kernel/time.h"

namespace shedshed {

/// Time after process start in which calls may wait for readiness. Later, an expired freshness
/// lease is an outage, and calls are rejected at once with `Retry-After`.
inline constexpr Duration kStartupPeriod = std::chrono::seconds(3);
/// Longest wait of one call. After a restart of all processes, the first freshness lease and the
/// first engine list arrive within about this time.
inline constexpr Duration kMaxStartWait = std::chrono::milliseconds(700);
/// Interval between readiness checks.
inline constexpr Duration kStartWaitPollInterval = std::chrono::milliseconds(20);

/// Returns true if at @p now a call that arrived at @p arrived may wait for another
/// `kStartWaitPollInterval`; @p started is the start time of the process.
inline bool mayWaitForStart(Time started, Time arrived, Time now) {
  return now < started + kStartupPeriod && now + kStartWaitPollInterval <= arrived + kMaxStartWait;
}

}  // namespace shedshed

/// @file
/// Monotonic time as the cores see it. Cores never read a clock: the host hands the time in.
#pragma once

#include <chrono>
#include <cstdint>

namespace shedshed {

/// Tag clock of one process. Its origin is arbitrary and differs between processes, so a `Time`
/// must never be sent to another node; send a remaining `Duration` instead.
struct MonotonicClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using Duration = std::chrono::nanoseconds;
using Time = MonotonicClock::time_point;

/// Converts a duration to whole milliseconds for the wire and for JSON.
inline std::int64_t toMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace shedshed

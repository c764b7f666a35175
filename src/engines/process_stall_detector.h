/// @file
/// Detects that this process was not running for some time.
#pragma once

#include "kernel/time.h"

namespace shedshed {

/// Compares the times of a periodic tick. A process that was frozen, or whose machine was paused,
/// sees the gap at its first tick afterwards. Core thread only.
class ProcessStallDetector {
 public:
  /// A gap between two ticks that is longer than @p maxGap is a stall.
  explicit ProcessStallDetector(Duration maxGap) : maxGap_(maxGap) {}

  /// Call at each tick. @return true if the process stalled before this tick.
  bool tick(Time now) {
    const bool stalled = lastTick_ < now && now - lastTick_ > maxGap_;
    lastTick_ = now;
    return stalled;
  }

 private:
  const Duration maxGap_;
  Time lastTick_ = Time::max();  ///< Before the first tick nothing counts as a gap.
};

}  // namespace shedshed

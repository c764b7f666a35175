/// @file
/// Divides the slots of a model's batch pool among batch runs by their due times.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace shedshed {

/// Request of one batch run for slots of a model's batch pool.
struct ShareRequest {
  std::string run;                   ///< Identifies the run; an opaque string.
  Duration dueIn{0};                 ///< Time until all results are due; negative if overdue.
  std::uint32_t requestedSlots = 0;  ///< Items that hold a slot or wait for one.
};

/// How many slots of the batch pool a run should hold.
struct ShareAssignment {
  std::uint32_t slots = 0;  ///< Maximum, by the due times of all runs.
  std::uint32_t free = 0;   ///< Slots of the pool that are not granted.
};

/// Allocates the slots of one model's batch pool, earliest due time first. Overdue runs rank after
/// all runs that can still finish in time, because their results have already lost value and those
/// of the others have not. Core thread only.
class ShareAllocator {
 public:
  /// Records @p request and returns how many of the pool's @p poolSize slots its run should hold at
  /// most. @p meanHoldTime is the mean time for which an item holds a slot.
  std::uint32_t allocate(const ShareRequest& request, std::uint32_t poolSize, Duration meanHoldTime,
                         Time now);

 private:
  struct Run {
    Time due{};
    std::uint32_t requestedSlots = 0;
    Time lastRequestAt{};
  };
  void removeInactiveRuns(Time now);

  std::map<std::string, Run> runs_;  ///< By `ShareRequest::run`.
};

}  // namespace shedshed

/// @file
/// Divides the slots of a model's batch pool between the runs of batches by their due times.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace shedshed {

/// What one run of a batch requests of a model's batch pool.
struct ShareRequest {
  std::string run;                   ///< Names the run; any text.
  Duration dueIn{0};                 ///< Time until all results are due; negative if overdue.
  std::uint32_t requestedSlots = 0;  ///< Items that hold a slot or wait for one.
};

/// How many slots of the batch pool a run should hold.
struct ShareAssignment {
  std::uint32_t slots = 0;  ///< At most; by the due times of all runs.
  std::uint32_t free = 0;   ///< Slots of the pool that nobody holds.
};

/// Allocates the slots of one model's batch pool, earliest due time first. A run that is overdue
/// comes after all that can still be in time: its results have already lost value, those of the
/// others have not. Core thread only.
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

/// @file
/// Adds the slot share of a batch run to the replies of the batch pools' owner.
#pragma once

#include "slots/pool_capacity.h"
#include "slots/share_allocator.h"
#include "slots/slot_messages.h"
#include "slots/slot_pools.h"

#include <map>
#include <string>

namespace shedshed {

/// Keeps one `ShareAllocator` for each batch pool whose requests this store has answered. Shares
/// are advisory: a run that exceeds its share is still bounded by the pool's size, so losing them
/// with the process is safe.
class BatchShareAssigner {
 public:
  /// Keeps references to all; they must outlive this object.
  BatchShareAssigner(const SlotOwnerEnvironment& environment, SlotPools& pools,
                     const PoolCapacity& capacity, const PoolSizer& sizer)
      : environment_(environment), pools_(pools), capacity_(capacity), sizer_(sizer) {}

  /// Adds to @p reply how many slots the run that sent @p request should hold. Does nothing if the
  /// request names no run, or if its pool is not a batch pool that this store owns.
  void addShare(const AcquireSlot& request, AcquireSlotReply& reply);

 private:
  const SlotOwnerEnvironment& environment_;
  SlotPools& pools_;
  const PoolCapacity& capacity_;
  const PoolSizer& sizer_;
  std::map<std::string, ShareAllocator> allocators_;  ///< By model.
};

}  // namespace shedshed

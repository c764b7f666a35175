/// @file
/// Owner-side handling of releases.
#pragma once

#include "slots/pool_sizer.h"
#include "slots/slot_messages.h"
#include "slots/slot_pools.h"

namespace shedshed {

/// Frees released slots and measures how long they were held. Has no state of its own.
class SlotReleaseHandler {
 public:
  /// Keeps references to all; they must outlive this object.
  SlotReleaseHandler(const SlotOwnerEnvironment& environment, SlotPools& pools, PoolSizer& sizer)
      : environment_(environment), pools_(pools), sizer_(sizer) {}

  /// Idempotent. The number is free as soon as the tombstone is in the owner's table: writes of one
  /// partition complete in order, so no later grant of the number is answered before a majority has
  /// it. The holder is answered at the same time; without an answer it sends the release again.
  void release(const NodeId& from, const ReleaseSlot& request);

 private:
  void replyReleased(const NodeId& from, const OwnerToken& token);

  const SlotOwnerEnvironment& environment_;
  SlotPools& pools_;
  PoolSizer& sizer_;
};

}  // namespace shedshed

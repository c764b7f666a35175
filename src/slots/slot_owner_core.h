/// @file
/// The owner's side of the numbered slots.
#pragma once

#include "kernel/core.h"
#include "partition/partition_store.h"
#include "slots/batch_share_assigner.h"
#include "slots/pool_capacity.h"
#include "slots/pool_explanation.h"
#include "slots/pool_sizer.h"
#include "slots/slot_acquire_handler.h"
#include "slots/slot_messages.h"
#include "slots/slot_owner_environment.h"
#include "slots/slot_pools.h"
#include "slots/slot_recovery.h"
#include "slots/slot_release_handler.h"
#include "slots/slot_renew_handler.h"
#include "slots/slot_usage_reporter.h"

#include <cstdint>
#include <vector>

namespace shedshed {

/// Interval of the owner's housekeeping: expiry, recovery notices, sizes.
inline constexpr Duration kOwnerTick = std::chrono::milliseconds(250);

/// Owns the slots of the partitions of this store: dispatches messages, ownership changes and ticks
/// to its components. Core thread only.
///
/// `SlotPools` keeps the granted slots, `SlotAcquireHandler`, `SlotRenewHandler` and
/// `SlotReleaseHandler` answer the holders, `SlotRecovery` restores a table whose memory was lost,
/// `PoolCapacity` with `PoolSizer` determines how many numbers a pool has, and `SlotUsageReporter`
/// informs the other stores.
class SlotOwnerCore : public Core, public PartitionListener {
 public:
  /// Keeps references to all; they must outlive it.
  SlotOwnerCore(CoreContext& context, PartitionStore& store, const PoolRateSource& rates,
                const EngineSource& engines, const Directory& directory,
                SlotOwnerOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                       RecoveryKind recovery) override;
  void ownershipLost(const PartitionId& partition) override;

  /// Returns the pools of the owned partitions, for operators.
  std::vector<PoolExplanation> explain() const;

 private:
  void adoptHoldTimes(const HoldTimeReport& report);
  PoolExplanation explainPool(const SlotPool& pool) const;

  const SlotOwnerEnvironment environment_;
  PoolSizer sizer_;
  SlotPools pools_;
  PoolCapacity capacity_;
  SlotRecovery recovery_;
  BatchShareAssigner shares_;
  SlotAcquireHandler acquireHandler_;
  SlotRenewHandler renewHandler_;
  SlotReleaseHandler releaseHandler_;
  SlotUsageReporter reporter_;
  Time lastSizeUpdate_;
};

}  // namespace shedshed

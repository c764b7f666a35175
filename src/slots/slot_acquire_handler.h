/// @file
/// Owner-side handling of slot acquisitions.
#pragma once

#include "slots/batch_share_assigner.h"
#include "slots/pool_capacity.h"
#include "slots/slot_messages.h"
#include "slots/slot_pools.h"
#include "slots/slot_recovery.h"

#include <cstdint>
#include <optional>
#include <string>

namespace shedshed {

/// Grants free numbers and rejects requests for which none is free. Core thread only.
///
/// A grant is answered once a majority has its row, so a successor's merge finds every grant that a
/// holder knows of. Until then the number is taken in memory: if the process dies or the write
/// fails, no holder relies on it. A grant that is answered again without a write first confirms
/// with a majority that this node still owns the partition.
class SlotAcquireHandler {
 public:
  /// Keeps references to all; they must outlive this object.
  SlotAcquireHandler(const SlotOwnerEnvironment& environment, SlotPools& pools,
                     const SlotRecovery& recovery, const PoolCapacity& capacity,
                     BatchShareAssigner& shares)
      : environment_(environment), pools_(pools), recovery_(recovery), capacity_(capacity),
        shares_(shares) {}

  void acquire(const NodeId& from, const AcquireSlot& request);

  /// Grants to live calls since the process started.
  std::uint64_t liveGrants() const { return liveGrants_; }

 private:
  std::optional<std::uint32_t> findFreeNumber(const PartitionId& partition, SlotPool& pool,
                                              const NumberRange& range);
  void answerRepeatedAcquisition(const NodeId& from, const AcquireSlot& request,
                                 OwnedPartition& owned, std::uint32_t number);
  void grant(const NodeId& from, const AcquireSlot& request, OwnedPartition& owned,
             std::uint32_t number);
  GrantedSlot newGrant(const NodeId& from, const AcquireSlot& request, const SlotPool& pool,
                       std::uint32_t number);
  /// Called when the write of @p claim's row has completed with @p status.
  void grantWritten(const NodeId& from, const AcquireSlot& request, const SlotClaim& claim,
                    std::uint64_t epoch, const Status& status);
  Time firstExpiry(const SlotPool& pool, const SlotClaim& claim) const;
  /// Returns the engine for a new holder of @p pool on node @p holder; empty if none is suggested.
  std::string suggestEngine(const SlotPool& pool, const NodeId& holder);
  void replyGranted(const NodeId& from, const AcquireSlot& request, std::uint32_t number,
                    std::uint64_t epoch);
  void reject(const NodeId& from, const AcquireSlot& request, SlotOutcome outcome,
              std::uint32_t poolSize = 0);

  const SlotOwnerEnvironment& environment_;
  SlotPools& pools_;
  const SlotRecovery& recovery_;
  const PoolCapacity& capacity_;
  BatchShareAssigner& shares_;
  std::uint64_t liveGrants_ = 0;
};

}  // namespace shedshed

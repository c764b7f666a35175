/// @file
/// Owner-side handling of renewals and re-assertions.
#pragma once

#include "slots/pool_capacity.h"
#include "slots/slot_messages.h"
#include "slots/slot_pools.h"
#include "slots/slot_recovery.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace shedshed {

/// Extends the time to live of granted slots, and restores slots that the owner does not know: it
/// let them expire, or their rows were lost. Has no state of its own. Core thread only.
///
/// A renewal changes no row, so it is answered from memory, after ownership has been confirmed: a
/// fenced owner that continued to renew would let holders rely on slots that have expired at its
/// successor. A restored slot is answered once a majority has its row.
class SlotRenewHandler {
 public:
  /// Keeps references to all; they must outlive this object.
  SlotRenewHandler(const SlotOwnerEnvironment& environment, SlotPools& pools,
                   SlotRecovery& recovery, const PoolCapacity& capacity)
      : environment_(environment), pools_(pools), recovery_(recovery), capacity_(capacity) {}

  void renew(const NodeId& from, const RenewSlots& request);

 private:
  /// The claims of one partition in a request of one holder.
  struct RenewalGroup {
    NodeId holder;
    PartitionId partition;
    std::uint64_t requestNumber = 0;
    std::vector<SlotClaim> claims;
  };

  void renewGroup(const RenewalGroup& group);
  void rejectGroup(const RenewalGroup& group);
  /// Renews or restores @p claim; adds to @p rows what must be written before the answer.
  RenewedSlot renewClaim(const NodeId& holder, const SlotClaim& claim, OwnedPartition& owned,
                         std::vector<SlotRow>& rows);
  RenewedSlot reassertClaim(const NodeId& holder, const SlotClaim& claim, SlotPool& pool,
                            std::vector<SlotRow>& rows);
  void writeReasserted(const PartitionId& partition, std::uint64_t epoch, std::vector<SlotRow> rows,
                       std::function<void(Status)> answer);

  const SlotOwnerEnvironment& environment_;
  SlotPools& pools_;
  SlotRecovery& recovery_;
  const PoolCapacity& capacity_;
};

}  // namespace shedshed

/// @file
/// Periodic reports of a slot owner to the other stores.
#pragma once

#include "slots/pool_sizer.h"
#include "slots/slot_messages.h"
#include "slots/slot_pools.h"

#include <cstdint>

namespace shedshed {

/// Interval of the reports to the other stores.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(500);

/// Sends the slots in use, for the lending singleton, and the mean hold times to all stores. With
/// the hold times each store can compute the sum over all pools, and a successor starts from the
/// measured value. Reports are repeated; a lost one is replaced by the next. Core thread only.
class SlotUsageReporter {
 public:
  /// Keeps references to all; they must outlive this object.
  SlotUsageReporter(const SlotOwnerEnvironment& environment, const SlotPools& pools,
                    const PoolSizer& sizer)
      : environment_(environment), pools_(pools), sizer_(sizer) {}

  /// Chooses the random incarnation of this process.
  void start();

  /// Sends reports if `kReportInterval` has passed. @p liveGrants: grants to live calls so far.
  void tick(std::uint64_t liveGrants);

 private:
  SlotUsageReport usageReport(std::uint64_t liveGrants);
  HoldTimeReport holdTimeReport() const;
  std::uint32_t countSlots(SlotClass serviceClass) const;

  const SlotOwnerEnvironment& environment_;
  const SlotPools& pools_;
  const PoolSizer& sizer_;
  Time lastReport_;
  std::uint64_t reportNumber_ = 0;
  std::uint64_t incarnation_ = 0;
};

}  // namespace shedshed

/// @file
/// Computes how many numbers of each kind of pool may currently be granted.
#pragma once

#include "slots/pool_sizer.h"
#include "slots/slot_messages.h"
#include "slots/slot_owner_environment.h"

#include <cstdint>
#include <map>
#include <string>

namespace shedshed {

/// A lending limit that has not been announced again for this long counts as 0.
inline constexpr Duration kLendingLimitLifetime = std::chrono::seconds(3);
/// Share of a tenant's numbers that its batch items may take while no capacity is lent; the rest is
/// for its live calls.
inline constexpr double kItemShareOfTenantPool = 0.75;
/// Share of the lent capacity that the items of one tenant may take.
inline constexpr double kItemShareOfLentCapacity = 0.5;

/// A range of a pool's numbers.
struct NumberRange {
  std::uint32_t first = 0;
  std::uint32_t count = 0;
};

/// Derives pool sizes from the current rates, the ready engines, and the limits that the lending
/// singleton announces. Core thread only.
class PoolCapacity {
 public:
  /// Keeps references to both; they must outlive this object.
  PoolCapacity(const SlotOwnerEnvironment& environment, const PoolSizer& sizer)
      : environment_(environment), sizer_(sizer) {}

  /// Applies @p limit unless a newer one of its model is known.
  void applyLendingLimit(const LendingLimit& limit);

  /// Returns N, the number of slots of pool @p name.
  std::uint32_t size(const PoolName& name) const;

  /// Returns the numbers of pool @p name that a holder of @p serviceClass may take.
  NumberRange grantableNumbers(const PoolName& name, SlotClass serviceClass) const;

 private:
  struct ModelLendingLimit {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    std::uint32_t size = 0;
    Time validUntil;
  };

  std::uint32_t batchPoolSize(const std::string& model) const;
  /// Returns the capacity that is lent to batch items, summed over all models.
  std::uint32_t lendableCapacity() const;

  const SlotOwnerEnvironment& environment_;
  const PoolSizer& sizer_;
  std::map<std::string, ModelLendingLimit> lendingLimits_;  ///< By model.
};

}  // namespace shedshed

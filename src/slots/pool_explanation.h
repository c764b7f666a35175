/// @file
/// What operators are shown of pools of slots, and of the capacity lent to batch items.
#pragma once

#include "kernel/node_id.h"
#include "kernel/time.h"
#include "slots/pool_sizer.h"
#include "slots/slot_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// One granted slot.
struct GrantedSlotExplanation {
  std::uint32_t number = 0;
  NodeId holder;
  SlotClass serviceClass = SlotClass::Live;
  std::optional<Duration> age;  ///< Unknown if an earlier owner granted it.
  Duration expiresIn{0};        ///< Without a renewal.
};

/// One pool of an owned partition.
struct PoolExplanation {
  PoolSize size;
  std::uint32_t liveSlots = 0;
  std::uint32_t batchSlots = 0;
  bool recovering = false;
  std::uint64_t epoch = 0;  ///< Of the owner that made this explanation.
  std::vector<GrantedSlotExplanation> grantedSlots;
};

/// Values behind a model's lent capacity.
struct LendingExplanation {
  std::string model;
  std::uint32_t lent = 0;            ///< N of the pool {"batch", model}.
  std::uint32_t engineCapacity = 0;  ///< What the ready engines run at once.
  std::uint32_t liveSlots = 0;       ///< In use by live calls.
  std::uint32_t reserve = 0;         ///< Kept free for live arrivals.
};

/// All that one store knows.
struct SlotExplanation {
  std::vector<PoolExplanation> pools;
  std::vector<LendingExplanation> lending;  ///< Empty on a store that does not lend.
};

}  // namespace shedshed

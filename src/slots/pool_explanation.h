/// @file
/// State of the slot pools and of the capacity lent to batch items, as shown to operators.
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
  Duration expiresIn{0};        ///< Unless renewed.
};

/// One pool of an owned partition.
struct PoolExplanation {
  PoolSize size;
  std::uint32_t liveSlots = 0;
  std::uint32_t batchSlots = 0;
  bool recovering = false;
  std::uint64_t epoch = 0;  ///< Epoch of the owner that reports the pool.
  std::vector<GrantedSlotExplanation> grantedSlots;
};

/// A model's lent capacity and the values that it was computed from.
struct LendingExplanation {
  std::string model;
  std::uint32_t lent = 0;            ///< N of the pool {"batch", model}.
  std::uint32_t engineCapacity = 0;  ///< Concurrent calls of the ready engines.
  std::uint32_t liveSlots = 0;       ///< In use by live calls.
  std::uint32_t reserve = 0;         ///< Kept free for live arrivals.
};

/// Everything that one store reports.
struct SlotExplanation {
  std::vector<PoolExplanation> pools;
  std::vector<LendingExplanation> lending;  ///< Empty unless the store is the lending singleton.
};

}  // namespace shedshed

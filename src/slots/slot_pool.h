/// @file
/// One pool of numbered slots in its owner's memory.
#pragma once

#include "kernel/core.h"
#include "kernel/time.h"
#include "slots/engine_placement.h"
#include "slots/slot_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace shedshed {

/// Prefix of the keys of all slot rows.
inline constexpr const char* kSlotRowPrefix = "concurrency:";

/// Returns the XXH128 hash of the pool's limiter and key, in hexadecimal.
std::string poolHash(const PoolName& pool);

/// Returns the partition that holds the pool's slots.
PartitionId poolPartition(const PoolName& pool);

/// Returns `concurrency:{pool hash}:{number}`.
std::string slotRowKey(const PoolName& pool, std::uint32_t number);

/// A replicated row: who holds the slot. Carries no expiry, since clocks of two machines are never
/// compared: every owner restarts the time to live.
struct SlotRow {
  SlotClaim claim;
  NodeId holder;
  MSGPACK_DEFINE(claim, holder);
};

/// The change that grants a number.
TableEntry rowEntry(const SlotRow& row);

/// The change that frees a number.
TableEntry erasedRow(const PoolName& pool, std::uint32_t number);

/// One granted slot in the owner's memory.
struct GrantedSlot {
  SlotRow row;
  Time expiresAt;
  Time checkAt;                    ///< When the holder is queried whether it still holds it.
  std::optional<Time> acquiredAt;  ///< Unknown if an earlier owner granted it.
  std::string engine;              ///< Engine suggested to the holder; may be empty.
  bool acknowledged = false;       ///< A majority has the row.
  bool writeOutstanding = false;   ///< The first write of the row has not completed.
};

/// The granted slots of one pool: an index over the rows of the owner's table.
class SlotPool {
 public:
  explicit SlotPool(PoolName name) : name_(std::move(name)) {}

  const PoolName& name() const { return name_; }

  /// The granted slots by ascending number.
  std::map<std::uint32_t, GrantedSlot>& slots() { return slots_; }
  const std::map<std::uint32_t, GrantedSlot>& slots() const { return slots_; }

  /// Returns the number that @p token holds.
  std::optional<std::uint32_t> numberOf(const OwnerToken& token) const;

  /// Probes the @p size numbers from @p first on once each, from a random start, and returns the
  /// first that is free.
  std::optional<std::uint32_t> probe(std::uint32_t size, RandomEngine& random,
                                     std::uint32_t first = 0) const;

  /// Returns the slot granted under @p number, or nullptr.
  GrantedSlot* find(std::uint32_t number);

  /// Replaces the slot granted under @p number, if any.
  void put(std::uint32_t number, GrantedSlot slot);
  void erase(std::uint32_t number);

  /// Returns when the last of the granted slots expires; `Time::min()` if there is none.
  Time latestExpiry() const;

  /// Which engines were suggested to the holders of the pool's slots.
  const EnginePlacement& placement() const { return placement_; }

  /// Returns the number of slots granted to holders of @p serviceClass.
  std::uint32_t used(SlotClass serviceClass) const;

 private:
  PoolName name_;
  std::map<std::uint32_t, GrantedSlot> slots_;
  std::map<OwnerToken, std::uint32_t> tokens_;
  EnginePlacement placement_;
};

}  // namespace shedshed

#include "slots/slot_pools.h"

#include <cstdlib>
#include <optional>
#include <utility>
#include <vector>

namespace shedshed {
namespace {

/// Number of a row's key "concurrency:{hash}:{number}"; nullopt if the key is malformed.
std::optional<std::uint32_t> rowNumber(std::string_view key) {
  const std::size_t separator = key.rfind(':');
  if (separator == std::string_view::npos || separator + 1 == key.size()) {
    return std::nullopt;
  }
  const std::string digits(key.substr(separator + 1));
  return static_cast<std::uint32_t>(std::strtoul(digits.c_str(), nullptr, 10));
}

}  // namespace

Time slotExpiry(const SlotClaim& claim, Time now) {
  return now + std::chrono::milliseconds(claim.timeToLiveMilliseconds) + kExpiryMargin;
}

SlotPool& OwnedPartition::pool(const PoolName& name) {
  return pools.try_emplace(poolHash(name), name).first->second;
}

void SlotPools::load(const PartitionId& partition, std::uint64_t epoch) {
  OwnedPartition& owned = partitions_[partition];
  owned = OwnedPartition{epoch, {}};
  environment_.store.forEach(partition, kSlotRowPrefix,
                             [&](std::string_view key, const std::string& value) {
                               loadRow(owned, key, value);
                               return true;
                             });
}

/// Restarts the full time to live: the time that passed at the previous owner is not comparable,
/// and a holder relies on the last renewal that the previous owner confirmed for at most one time
/// to live from before this takeover.
void SlotPools::loadRow(OwnedPartition& owned, std::string_view key, const std::string& value) {
  Result<SlotRow> row = decodeRecord<SlotRow>(value);
  const std::optional<std::uint32_t> number = rowNumber(key);
  if (!row || !number) {
    return;
  }
  const Time now = environment_.context.now();
  GrantedSlot slot;
  slot.row = std::move(row).value();
  slot.expiresAt = slotExpiry(slot.row.claim, now);
  slot.checkAt = now + kHolderCheckAge;
  slot.acknowledged = true;
  SlotPool& pool = owned.pool(slot.row.claim.pool());
  pool.put(*number, std::move(slot));
}

OwnedPartition* SlotPools::owned(const PartitionId& partition) {
  const auto found = partitions_.find(partition);
  if (found == partitions_.end() || !environment_.store.owns(partition)) {
    return nullptr;
  }
  return &found->second;
}

GrantedSlot* SlotPools::findGrant(const PartitionId& partition, std::uint64_t epoch,
                                  const SlotClaim& claim) {
  OwnedPartition* current = owned(partition);
  if (current == nullptr || current->epoch != epoch) {
    return nullptr;
  }
  GrantedSlot* slot = current->pool(claim.pool()).find(claim.number);
  return slot != nullptr && slot->row.claim.token == claim.token ? slot : nullptr;
}

void SlotPools::expireAll() {
  for (auto& [partition, owned] : partitions_) {
    if (!environment_.store.owns(partition)) {
      continue;
    }
    for (auto& entry : owned.pools) {
      expire(partition, entry.second);
    }
  }
}

void SlotPools::expire(const PartitionId& partition, SlotPool& pool) {
  std::vector<std::uint32_t> expired;
  for (const auto& [number, slot] : pool.slots()) {
    if (slot.expiresAt <= environment_.context.now()) {
      expired.push_back(number);
    }
  }
  std::vector<TableEntry> entries;
  for (const std::uint32_t number : expired) {
    pool.erase(number);
    entries.push_back(erasedRow(pool.name(), number));
    environment_.context.counters().add("slot_expiries_total");
  }
  if (!entries.empty()) {
    environment_.store.write(partition, std::move(entries), [](Status) {});
  }
}

}  // namespace shedshed

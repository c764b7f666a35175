#include "slots/slot_pool.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

std::string poolHash(const PoolName& pool) {
  return hash128Hex(pool.limiter + ":" + pool.key);
}

PartitionId poolPartition(const PoolName& pool) {
  return partitionOf(TableKind::Slots, poolHash(pool));
}

std::string slotRowKey(const PoolName& pool, std::uint32_t number) {
  return kSlotRowPrefix + poolHash(pool) + ":" + std::to_string(number);
}

TableEntry rowEntry(const SlotRow& row) {
  return {slotRowKey(row.claim.pool(), row.claim.number), encodeRecord(row)};
}

TableEntry erasedRow(const PoolName& pool, std::uint32_t number) {
  return {slotRowKey(pool, number), std::nullopt};
}

std::optional<std::uint32_t> SlotPool::numberOf(const OwnerToken& token) const {
  const auto found = tokens_.find(token);
  if (found == tokens_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<std::uint32_t> SlotPool::probe(std::uint32_t size, RandomEngine& random,
                                             std::uint32_t first) const {
  if (size == 0) {
    return std::nullopt;
  }
  const std::uint32_t start = static_cast<std::uint32_t>(random() % size);
  for (std::uint32_t step = 0; step < size; ++step) {
    const std::uint32_t number = first + (start + step) % size;
    if (slots_.count(number) == 0) {
      return number;
    }
  }
  return std::nullopt;
}

GrantedSlot* SlotPool::find(std::uint32_t number) {
  const auto found = slots_.find(number);
  return found == slots_.end() ? nullptr : &found->second;
}

void SlotPool::put(std::uint32_t number, GrantedSlot slot) {
  erase(number);
  tokens_[slot.row.claim.token] = number;
  placement_.addHolder(slot.engine);
  slots_[number] = std::move(slot);
}

void SlotPool::erase(std::uint32_t number) {
  const auto found = slots_.find(number);
  if (found == slots_.end()) {
    return;
  }
  const auto token = tokens_.find(found->second.row.claim.token);
  if (token != tokens_.end() && token->second == number) {
    tokens_.erase(token);
  }
  placement_.removeHolder(found->second.engine);
  slots_.erase(found);
}

Time SlotPool::latestExpiry() const {
  Time latest = Time::min();
  for (const auto& entry : slots_) {
    latest = std::max(latest, entry.second.expiresAt);
  }
  return latest;
}

std::uint32_t SlotPool::used(SlotClass serviceClass) const {
  std::uint32_t count = 0;
  for (const auto& entry : slots_) {
    if (entry.second.row.claim.serviceClass == serviceClass) {
      ++count;
    }
  }
  return count;
}

}  // namespace shedshed

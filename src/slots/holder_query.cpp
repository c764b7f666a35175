#include "slots/holder_query.h"

#include "slots/slot_messages.h"

#include <map>

namespace shedshed {
namespace {

using QueriesByHolder = std::map<NodeId, GrantedSlotsQuery>;

void addDueSlots(SlotPool& pool, Time now, QueriesByHolder& queries) {
  if (pool.name().limiter == kQuotaLimiter) {
    return;  // Quota numbers are left to expire.
  }
  for (auto& entry : pool.slots()) {
    GrantedSlot& slot = entry.second;
    if (slot.acknowledged && slot.checkAt <= now) {
      slot.checkAt = now + kHolderCheckRetry;
      queries[slot.row.holder].claims.push_back(slot.row.claim);
    }
  }
}

}  // namespace

void queryUnresponsiveHolders(const SlotOwnerEnvironment& environment, SlotPools& pools) {
  if (!environment.options.safeguards.queryUnresponsiveHolders) {
    return;
  }
  QueriesByHolder queries;
  for (auto& [partition, owned] : pools.partitions()) {
    if (!environment.store.owns(partition)) {
      continue;
    }
    for (auto& entry : owned.pools) {
      addDueSlots(entry.second, environment.context.now(), queries);
    }
  }
  for (const auto& [holder, query] : queries) {
    environment.context.counters().add("slot_holder_queries_total");
    environment.context.send(holder, query);
  }
}

}  // namespace shedshed

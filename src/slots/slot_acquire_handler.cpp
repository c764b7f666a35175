#include "slots/slot_acquire_handler.h"

#include <algorithm>
#include <utility>

namespace shedshed {

void SlotAcquireHandler::acquire(const NodeId& from, const AcquireSlot& request) {
  const PoolName name = request.claim.pool();
  const PartitionId partition = poolPartition(name);
  OwnedPartition* owned = pools_.owned(partition);
  if (owned == nullptr) {
    reject(from, request, SlotOutcome::NotOwner);
    return;
  }
  if (pools_.releasedTokens().contains(request.claim.token)) {
    return;
  }
  SlotPool& pool = owned->pool(name);
  const std::optional<std::uint32_t> existing = pool.numberOf(request.claim.token);
  if (existing && environment_.options.safeguards.idempotentTokens) {
    answerRepeatedAcquisition(from, request, *owned, *existing);
    return;
  }
  if (recovery_.isOpen(partition)) {
    reject(from, request, SlotOutcome::NotReady);
    return;
  }
  const NumberRange range = capacity_.grantableNumbers(name, request.claim.serviceClass);
  const std::optional<std::uint32_t> number = findFreeNumber(partition, pool, range);
  if (!number) {
    environment_.context.counters().add("slot_refusals_total");
    reject(from, request, SlotOutcome::Full, range.count);
    return;
  }
  grant(from, request, *owned, *number);
}

std::optional<std::uint32_t> SlotAcquireHandler::findFreeNumber(const PartitionId& partition,
                                                                SlotPool& pool,
                                                                const NumberRange& range) {
  RandomEngine& random = environment_.context.random();
  const std::optional<std::uint32_t> number = pool.probe(range.count, random, range.first);
  if (number) {
    return number;
  }
  pools_.expire(partition, pool);  // Frees what has expired since the last tick.
  return pool.probe(range.count, random, range.first);
}

/// A duplicate request that arrives while the first write is outstanding is not answered
/// separately; after a failed write the row is written again.
void SlotAcquireHandler::answerRepeatedAcquisition(const NodeId& from, const AcquireSlot& request,
                                                   OwnedPartition& owned, std::uint32_t number) {
  GrantedSlot& slot = *owned.pool(request.claim.pool()).find(number);
  if (slot.writeOutstanding) {
    return;
  }
  if (!slot.acknowledged) {
    grant(from, request, owned, number);
    return;
  }
  slot.expiresAt = slotExpiry(slot.row.claim, environment_.context.now());
  const std::uint64_t epoch = owned.epoch;
  environment_.store.confirmOwnership(poolPartition(request.claim.pool()),
                                      [this, from, request, number, epoch](Status status) {
                                        if (status) {
                                          replyGranted(from, request, number, epoch);
                                        }
                                      });
}

void SlotAcquireHandler::grant(const NodeId& from, const AcquireSlot& request,
                               OwnedPartition& owned, std::uint32_t number) {
  SlotPool& pool = owned.pool(request.claim.pool());
  const std::uint64_t epoch = owned.epoch;
  GrantedSlot slot = newGrant(from, request, pool, number);
  const SlotClaim claim = slot.row.claim;
  const TableEntry entry = rowEntry(slot.row);
  pool.put(number, std::move(slot));
  if (!environment_.options.safeguards.grantAfterMajority) {
    replyGranted(from, request, number, epoch);
  }
  environment_.store.write(poolPartition(request.claim.pool()), {entry},
                           [this, from, request, claim, epoch](Status status) {
                             grantWritten(from, request, claim, epoch, status);
                           });
}

GrantedSlot SlotAcquireHandler::newGrant(const NodeId& from, const AcquireSlot& request,
                                         const SlotPool& pool, std::uint32_t number) {
  const Time now = environment_.context.now();
  GrantedSlot slot;
  slot.row = {request.claim, from};
  slot.row.claim.number = number;
  slot.expiresAt = firstExpiry(pool, request.claim);
  if (pool.name().limiter == kQuotaLimiter) {
    // A successor restarts this time to live, so the number expires there after the same time.
    slot.row.claim.timeToLiveMilliseconds = toMilliseconds(slot.expiresAt - now) + 1;
  }
  slot.acquiredAt = now;
  slot.engine = suggestEngine(pool, from);
  slot.writeOutstanding = true;
  return slot;
}

void SlotAcquireHandler::grantWritten(const NodeId& from, const AcquireSlot& request,
                                      const SlotClaim& claim, std::uint64_t epoch,
                                      const Status& status) {
  GrantedSlot* written = pools_.findGrant(poolPartition(claim.pool()), epoch, claim);
  if (written != nullptr) {
    written->writeOutstanding = false;
    written->acknowledged = static_cast<bool>(status);
    written->checkAt = environment_.context.now() + kHolderCheckAge;
  }
  if (!status || written == nullptr) {
    reject(from, request, SlotOutcome::NotOwner);
    return;
  }
  environment_.context.counters().add("slot_grants_total");
  liveGrants_ += claim.serviceClass == SlotClass::Live ? 1 : 0;
  replyGranted(from, request, claim.number, epoch);
}

/// The numbers of a quota expire one after the other at its rate, as in a token bucket. With a rate
/// of 0 they keep their own time to live.
Time SlotAcquireHandler::firstExpiry(const SlotPool& pool, const SlotClaim& claim) const {
  const Time now = environment_.context.now();
  const double perSecond = environment_.rates.rate(pool.name()).perSecond;
  if (pool.name().limiter != kQuotaLimiter || perSecond <= 0) {
    return slotExpiry(claim, now);
  }
  const auto interval = std::chrono::duration<double>(1 / perSecond);
  return std::max(now, pool.latestExpiry()) + std::chrono::duration_cast<Duration>(interval);
}

std::string SlotAcquireHandler::suggestEngine(const SlotPool& pool, const NodeId& holder) {
  if (pool.name().limiter == kQuotaLimiter) {
    return {};
  }
  const auto nodes = environment_.directory.table();
  const NodeInfo* node = nodes->find(holder);
  const std::string zone = node == nullptr ? std::string() : node->zone;
  return pool.placement().suggest(*environment_.engines.table(), pool.name(), zone,
                                  environment_.context.random()());
}

void SlotAcquireHandler::replyGranted(const NodeId& from, const AcquireSlot& request,
                                      std::uint32_t number, std::uint64_t epoch) {
  AcquireSlotReply reply;
  reply.attempt = request.attempt;
  reply.claim = request.claim;
  reply.claim.number = number;
  reply.outcome = SlotOutcome::Granted;
  reply.epoch = epoch;
  const PartitionId partition = poolPartition(request.claim.pool());
  if (const GrantedSlot* slot = pools_.findGrant(partition, epoch, reply.claim)) {
    reply.engine = slot->engine;
  }
  shares_.addShare(request, reply);
  environment_.context.send(from, reply);
}

void SlotAcquireHandler::reject(const NodeId& from, const AcquireSlot& request, SlotOutcome outcome,
                                std::uint32_t poolSize) {
  AcquireSlotReply reply;
  reply.attempt = request.attempt;
  reply.claim = request.claim;
  reply.outcome = outcome;
  reply.poolSize = poolSize;
  if (outcome == SlotOutcome::NotOwner) {
    reply.ownerHint = environment_.store.ownerHint(poolPartition(request.claim.pool()));
  }
  if (outcome == SlotOutcome::Full) {
    shares_.addShare(request, reply);
  }
  environment_.context.send(from, reply);
}

}  // namespace shedshed

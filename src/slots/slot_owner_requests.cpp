/// @file
/// The holders' requests to a slot owner: acquire, release, renew.
#include "slots/slot_owner_core.h"

#include <utility>

namespace shedshed {
namespace {

TableEntry rowEntry(const SlotRow& row) {
  return {slotRowKey(row.claim.pool(), row.claim.number), encodeRecord(row)};
}

}  // namespace

// ---- Acquire

void SlotOwnerCore::acquire(const NodeId& from, const AcquireSlot& request) {
  const PoolName name = request.claim.pool();
  const PartitionId partition = poolPartition(name);
  OwnedPartition* current = owned(partition);
  if (current == nullptr) {
    refuse(from, request, SlotOutcome::NotOwner);
    return;
  }
  if (releasedTokens_.count(request.claim.token) != 0) {
    return;
  }
  SlotPool& pool = poolOf(*current, name);
  const std::optional<std::uint32_t> existing = pool.numberOf(request.claim.token);
  if (existing && options_.safeguards.idempotentTokens) {
    answerRepeatedAcquisition(from, request, *existing);
    return;
  }
  if (recovery_.isOpen(partition)) {
    refuse(from, request, SlotOutcome::NotReady);
    return;
  }
  const NumberRange open = openNumbers(name, request.claim.serviceClass);
  std::optional<std::uint32_t> number = pool.probe(open.count, context_.random(), open.first);
  if (!number) {
    expirePool(partition, pool);  // What has expired since the last tick is free.
    number = pool.probe(open.count, context_.random(), open.first);
  }
  if (!number) {
    context_.counters().add("slot_refusals_total");
    refuse(from, request, SlotOutcome::Full, open.count);
    return;
  }
  grant(from, request, *number);
}

/// The token asks again. A copy that arrives while the first write is outstanding needs no answer
/// of its own; after a failed write the row is written again.
void SlotOwnerCore::answerRepeatedAcquisition(const NodeId& from, const AcquireSlot& request,
                                              std::uint32_t number) {
  const PartitionId partition = poolPartition(request.claim.pool());
  OwnedPartition& current = *owned(partition);
  GrantedSlot& held = *poolOf(current, request.claim.pool()).find(number);
  if (held.writeOutstanding) {
    return;
  }
  if (!held.acknowledged) {
    grant(from, request, number);
    return;
  }
  held.expiresAt = expiryOf(held.row.claim);
  const std::uint64_t epoch = current.epoch;
  store_.confirmOwnership(partition, [this, from, request, number, epoch](Status status) {
    if (status) {
      replyGranted(from, request, number, epoch);
    }
  });
}

void SlotOwnerCore::grant(const NodeId& from, const AcquireSlot& request, std::uint32_t number) {
  const PoolName name = request.claim.pool();
  const PartitionId partition = poolPartition(name);
  OwnedPartition& current = *owned(partition);
  GrantedSlot held;
  held.row = {request.claim, from};
  held.row.claim.number = number;
  held.expiresAt = firstExpiry(poolOf(current, name), request.claim);
  if (name.limiter == kQuotaLimiter) {
    // A successor lets the number expire after as long a time again.
    held.row.claim.timeToLiveMilliseconds = toMilliseconds(held.expiresAt - context_.now()) + 1;
  }
  held.acquiredAt = context_.now();
  held.engine = suggestEngine(poolOf(current, name), from);
  held.writeOutstanding = true;
  const SlotClaim claim = held.row.claim;
  const TableEntry entry = rowEntry(held.row);
  poolOf(current, name).put(number, std::move(held));
  const std::uint64_t epoch = current.epoch;
  if (!options_.safeguards.grantAfterMajority) {
    replyGranted(from, request, number, epoch);
  }
  store_.write(partition, {entry}, [this, from, request, claim, partition, epoch](Status status) {
    GrantedSlot* written = findGrant(partition, epoch, claim);
    if (written != nullptr) {
      written->writeOutstanding = false;
      written->acknowledged = static_cast<bool>(status);
      written->checkAt = context_.now() + kHolderCheckAge;
    }
    if (!status || written == nullptr) {
      refuse(from, request, SlotOutcome::NotOwner);
      return;
    }
    context_.counters().add("slot_grants_total");
    liveGrants_ += claim.serviceClass == SlotClass::Live ? 1 : 0;
    replyGranted(from, request, claim.number, epoch);
  });
}

std::string SlotOwnerCore::suggestEngine(const SlotPool& pool, const NodeId& holder) {
  if (pool.name().limiter == kQuotaLimiter) {
    return {};
  }
  const auto nodes = directory_.table();
  const NodeInfo* node = nodes->find(holder);
  const std::string zone = node == nullptr ? std::string() : node->zone;
  return pool.placement().suggest(*engines_.table(), pool.name(), zone, context_.random()());
}

void SlotOwnerCore::replyGranted(const NodeId& from, const AcquireSlot& request,
                                 std::uint32_t number, std::uint64_t epoch) {
  AcquireSlotReply reply;
  reply.attempt = request.attempt;
  reply.claim = request.claim;
  reply.claim.number = number;
  reply.outcome = SlotOutcome::Granted;
  reply.epoch = epoch;
  if (const GrantedSlot* held =
          findGrant(poolPartition(request.claim.pool()), epoch, reply.claim)) {
    reply.engine = held->engine;
  }
  addShare(request, reply);
  context_.send(from, reply);
}

void SlotOwnerCore::addShare(const AcquireSlot& request, AcquireSlotReply& reply) {
  const PoolName name = request.claim.pool();
  OwnedPartition* current = owned(poolPartition(name));
  if (request.run.empty() || name.limiter != kBatchLimiter || current == nullptr) {
    return;
  }
  const ShareRequest share{request.run, std::chrono::milliseconds(request.dueInMilliseconds),
                           request.requestedSlots};
  const std::uint32_t size = poolSize(name);
  const auto used = static_cast<std::uint32_t>(poolOf(*current, name).numbers().size());
  reply.shareAssigned = true;
  reply.share = runShares_[name.key].allocate(share, size, sizer_.holdTime(name), context_.now());
  reply.free = size > used ? size - used : 0;
}

void SlotOwnerCore::refuse(const NodeId& from, const AcquireSlot& request, SlotOutcome outcome,
                           std::uint32_t poolSize) {
  AcquireSlotReply reply;
  reply.attempt = request.attempt;
  reply.claim = request.claim;
  reply.outcome = outcome;
  reply.poolSize = poolSize;
  if (outcome == SlotOutcome::NotOwner) {
    reply.ownerHint = store_.ownerHint(poolPartition(request.claim.pool()));
  }
  if (outcome == SlotOutcome::Full) {
    addShare(request, reply);
  }
  context_.send(from, reply);
}

// ---- Release

/// The number is free as soon as the tombstone is in the owner's table: writes of one partition
/// complete in order, so no later grant of the number is answered before a majority has it.
void SlotOwnerCore::release(const NodeId& from, const ReleaseSlot& request) {
  const PoolName name{request.limiter, request.key};
  const PartitionId partition = poolPartition(name);
  OwnedPartition* current = owned(partition);
  if (current == nullptr) {
    ReleaseSlotReply reply{request.token, SlotOutcome::NotOwner, store_.ownerHint(partition)};
    context_.send(from, reply);
    return;
  }
  releasedTokens_[request.token] = context_.now() + kReleasedTokenMemory;
  SlotPool& pool = poolOf(*current, name);
  const std::optional<std::uint32_t> number = pool.numberOf(request.token);
  if (!number) {
    replyReleased(from, request.token);
    return;
  }
  const std::optional<Time> acquiredAt = pool.find(*number)->acquiredAt;
  if (acquiredAt) {
    sizer_.observeHoldTime(name, context_.now() - *acquiredAt);
  }
  pool.erase(*number);
  context_.counters().add("slot_releases_total");
  store_.write(partition, {erasedRow(name, *number)},
               [this, from, token = request.token](Status status) {
                 if (status) {
                   replyReleased(from, token);
                 }
               });
}

void SlotOwnerCore::replyReleased(const NodeId& from, const OwnerToken& token) {
  context_.send(from, ReleaseSlotReply{token, SlotOutcome::Released, {}});
}

// ---- Renew and re-assert

void SlotOwnerCore::renew(const NodeId& from, const RenewSlots& request) {
  std::map<PartitionId, std::vector<SlotClaim>> byPartition;
  for (const SlotClaim& claim : request.claims) {
    byPartition[poolPartition(claim.pool())].push_back(claim);
  }
  for (const auto& group : byPartition) {
    renewPartition(from, group.first, request.round, group.second);
  }
  if (request.complete && owned(request.partition) != nullptr) {
    recovery_.answered(request.partition, request.epoch, from);
    closeRecovered();
  }
}

/// Without a change the answer comes from memory alone, so ownership is proved first: a fenced
/// owner that went on renewing would let holders outlive the expiry at its successor.
void SlotOwnerCore::renewPartition(const NodeId& from, const PartitionId& partition,
                                   std::uint64_t round, const std::vector<SlotClaim>& claims) {
  OwnedPartition* current = owned(partition);
  if (current == nullptr) {
    refuseRenewal(from, partition, round, claims);
    return;
  }
  RenewSlotsReply reply;
  reply.partition = partition;
  reply.epoch = current->epoch;
  reply.round = round;
  std::vector<SlotRow> rows;
  for (const SlotClaim& claim : claims) {
    reply.slots.push_back(renewClaim(from, claim, *current, rows));
  }
  const auto answer = [this, from, reply](Status status) {
    if (status) {
      context_.send(from, reply);
    }
  };
  if (!rows.empty()) {
    writeReasserted(partition, current->epoch, std::move(rows), answer);
  } else if (options_.safeguards.confirmRenewals) {
    store_.confirmOwnership(partition, answer);
  } else {
    answer(okStatus());
  }
}

void SlotOwnerCore::refuseRenewal(const NodeId& from, const PartitionId& partition,
                                  std::uint64_t round, const std::vector<SlotClaim>& claims) {
  RenewSlotsReply reply;
  reply.partition = partition;
  reply.round = round;
  reply.ownerHint = store_.ownerHint(partition);
  for (const SlotClaim& claim : claims) {
    reply.slots.push_back({claim.token, SlotOutcome::NotOwner, 0});
  }
  context_.send(from, reply);
}

void SlotOwnerCore::writeReasserted(const PartitionId& partition, std::uint64_t epoch,
                                    std::vector<SlotRow> rows, std::function<void(Status)> answer) {
  std::vector<TableEntry> entries;
  for (const SlotRow& row : rows) {
    entries.push_back(rowEntry(row));
  }
  store_.write(partition, std::move(entries),
               [this, partition, epoch, rows, answer](Status status) {
                 for (const SlotRow& row : rows) {
                   GrantedSlot* written = findGrant(partition, epoch, row.claim);
                   if (status && written != nullptr) {
                     written->acknowledged = true;
                   }
                 }
                 answer(status);
               });
}

RenewedSlot SlotOwnerCore::renewClaim(const NodeId& from, const SlotClaim& claim,
                                      OwnedPartition& owned, std::vector<SlotRow>& rows) {
  if (releasedTokens_.count(claim.token) != 0) {
    return {claim.token, SlotOutcome::Released, 0};
  }
  SlotPool& pool = poolOf(owned, claim.pool());
  const std::optional<std::uint32_t> number = pool.numberOf(claim.token);
  if (!number) {
    return reassertClaim(from, claim, pool, rows);
  }
  GrantedSlot& held = *pool.find(*number);
  held.expiresAt = expiryOf(held.row.claim);
  held.checkAt = context_.now() + kHolderCheckAge;
  if (!held.acknowledged) {
    rows.push_back(held.row);
  }
  context_.counters().add("slot_renewals_total");
  return {claim.token, SlotOutcome::Granted, *number};
}

/// The token's own number if it is free (also above N: nothing is revoked), else any free one.
/// While the recovery window is open a number that looks free may be another holder's, so a
/// conflict waits for its end.
RenewedSlot SlotOwnerCore::reassertClaim(const NodeId& from, const SlotClaim& claim, SlotPool& pool,
                                         std::vector<SlotRow>& rows) {
  std::optional<std::uint32_t> number = claim.number;
  if (pool.find(claim.number) != nullptr) {
    if (recovery_.isOpen(poolPartition(claim.pool()))) {
      return {claim.token, SlotOutcome::NotReady, 0};
    }
    number = pool.probe(poolSize(claim.pool()), context_.random());
  }
  if (!number) {
    return {claim.token, SlotOutcome::Overcommitted, 0};
  }
  GrantedSlot held;
  held.row = {claim, from};
  held.row.claim.number = *number;
  held.expiresAt = expiryOf(claim);
  held.checkAt = context_.now() + kHolderCheckAge;
  rows.push_back(held.row);
  pool.put(*number, std::move(held));
  context_.counters().add("slot_reassertions_total");
  return {claim.token, SlotOutcome::Granted, *number};
}

}  // namespace shedshed

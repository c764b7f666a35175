#include "slots/slot_renew_handler.h"

#include <map>
#include <optional>
#include <utility>

namespace shedshed {

void SlotRenewHandler::renew(const NodeId& from, const RenewSlots& request) {
  std::map<PartitionId, RenewalGroup> groups;
  for (const SlotClaim& claim : request.claims) {
    const PartitionId partition = poolPartition(claim.pool());
    RenewalGroup& group =
        groups.try_emplace(partition, RenewalGroup{from, partition, request.requestNumber, {}})
            .first->second;
    group.claims.push_back(claim);
  }
  for (const auto& entry : groups) {
    renewGroup(entry.second);
  }
  if (request.complete && pools_.owned(request.partition) != nullptr) {
    recovery_.holderAnswered(request.partition, request.epoch, from);
  }
}

void SlotRenewHandler::renewGroup(const RenewalGroup& group) {
  OwnedPartition* owned = pools_.owned(group.partition);
  if (owned == nullptr) {
    rejectGroup(group);
    return;
  }
  RenewSlotsReply reply;
  reply.partition = group.partition;
  reply.epoch = owned->epoch;
  reply.requestNumber = group.requestNumber;
  std::vector<SlotRow> rows;
  for (const SlotClaim& claim : group.claims) {
    reply.slots.push_back(renewClaim(group.holder, claim, *owned, rows));
  }
  const auto answer = [this, holder = group.holder, reply](Status status) {
    if (status) {
      environment_.context.send(holder, reply);
    }
  };
  if (!rows.empty()) {
    writeReasserted(group.partition, owned->epoch, std::move(rows), answer);
  } else if (environment_.options.safeguards.confirmRenewals) {
    environment_.store.confirmOwnership(group.partition, answer);
  } else {
    answer(okStatus());
  }
}

void SlotRenewHandler::rejectGroup(const RenewalGroup& group) {
  RenewSlotsReply reply;
  reply.partition = group.partition;
  reply.requestNumber = group.requestNumber;
  reply.ownerHint = environment_.store.ownerHint(group.partition);
  for (const SlotClaim& claim : group.claims) {
    reply.slots.push_back({claim.token, SlotOutcome::NotOwner, 0});
  }
  environment_.context.send(group.holder, reply);
}

RenewedSlot SlotRenewHandler::renewClaim(const NodeId& holder, const SlotClaim& claim,
                                         OwnedPartition& owned, std::vector<SlotRow>& rows) {
  if (pools_.releasedTokens().contains(claim.token)) {
    return {claim.token, SlotOutcome::Released, 0};
  }
  SlotPool& pool = owned.pool(claim.pool());
  const std::optional<std::uint32_t> number = pool.numberOf(claim.token);
  if (!number) {
    return reassertClaim(holder, claim, pool, rows);
  }
  const Time now = environment_.context.now();
  GrantedSlot& slot = *pool.find(*number);
  slot.expiresAt = slotExpiry(slot.row.claim, now);
  slot.checkAt = now + kHolderCheckAge;
  if (!slot.acknowledged) {
    rows.push_back(slot.row);
  }
  environment_.context.counters().add("slot_renewals_total");
  return {claim.token, SlotOutcome::Granted, *number};
}

/// The token's own number if it is free (also above N: nothing is revoked), else any free one.
/// While the recovery window is open a number that looks free may be another holder's, so a
/// conflict waits for its end.
RenewedSlot SlotRenewHandler::reassertClaim(const NodeId& holder, const SlotClaim& claim,
                                            SlotPool& pool, std::vector<SlotRow>& rows) {
  std::optional<std::uint32_t> number = claim.number;
  if (pool.find(claim.number) != nullptr) {
    if (recovery_.isOpen(poolPartition(claim.pool()))) {
      return {claim.token, SlotOutcome::NotReady, 0};
    }
    number = pool.probe(capacity_.size(claim.pool()), environment_.context.random());
  }
  if (!number) {
    return {claim.token, SlotOutcome::Overcommitted, 0};
  }
  const Time now = environment_.context.now();
  GrantedSlot slot;
  slot.row = {claim, holder};
  slot.row.claim.number = *number;
  slot.expiresAt = slotExpiry(claim, now);
  slot.checkAt = now + kHolderCheckAge;
  rows.push_back(slot.row);
  pool.put(*number, std::move(slot));
  environment_.context.counters().add("slot_reassertions_total");
  return {claim.token, SlotOutcome::Granted, *number};
}

void SlotRenewHandler::writeReasserted(const PartitionId& partition, std::uint64_t epoch,
                                       std::vector<SlotRow> rows,
                                       std::function<void(Status)> answer) {
  std::vector<TableEntry> entries;
  for (const SlotRow& row : rows) {
    entries.push_back(rowEntry(row));
  }
  environment_.store.write(partition, std::move(entries),
                           [this, partition, epoch, rows, answer](Status status) {
                             for (const SlotRow& row : rows) {
                               GrantedSlot* written = pools_.findGrant(partition, epoch, row.claim);
                               if (status && written != nullptr) {
                                 written->acknowledged = true;
                               }
                             }
                             answer(status);
                           });
}

}  // namespace shedshed

#include "slots/slot_renewer.h"

#include "slots/slot_pool.h"

#include <algorithm>
#include <utility>

namespace shedshed {
namespace {

/// An answer to a renewal that arrives later than this no longer extends a lease.
constexpr Duration kSentRequestRetention = std::chrono::seconds(10);

}  // namespace

void SlotRenewer::add(const SlotClaim& claim, Time sentAt) {
  RenewedLease lease;
  lease.claim = claim;
  lease.partition = poolPartition(claim.pool());
  lease.validUntil = sentAt + timeToLive(claim);
  lease.renewAt = nextRenewal(claim);
  leases_[claim.token] = std::move(lease);
}

void SlotRenewer::release(const OwnerToken& token) {
  const auto found = leases_.find(token);
  if (found == leases_.end()) {
    return;
  }
  const SlotClaim claim = found->second.claim;
  leases_.erase(found);
  releaser_.release(claim);
}

std::vector<HolderLease> SlotRenewer::leases() const {
  std::vector<HolderLease> result;
  for (const auto& [token, lease] : leases_) {
    result.push_back({lease.claim, lease.validUntil});
  }
  return result;
}

/// Aligns the renewals of all slots, so that one message per owner renews them all.
Time SlotRenewer::nextRenewal(const SlotClaim& claim) {
  const Time now = context_.now();
  const Time latest = now + timeToLive(claim) / kRenewalsPerTimeToLive;
  if (commonRenewalTime_ <= now || commonRenewalTime_ > latest) {
    commonRenewalTime_ = latest;
  }
  return commonRenewalTime_;
}

void SlotRenewer::tick() {
  sendDueRenewals();
  evictOldRequests();
}

void SlotRenewer::sendDueRenewals() {
  const Time now = context_.now();
  std::map<NodeId, RenewSlots> byOwner;
  for (auto& [token, lease] : leases_) {
    if (lease.renewAt > now) {
      continue;
    }
    if (!lease.target.empty()) {
      locator_.failed(lease.partition, lease.target);
      ++lease.attempt;
    }
    lease.target = locator_.candidate(lease.partition, lease.attempt);
    lease.renewAt = now + kRenewalRetry;
    byOwner[lease.target].claims.push_back(lease.claim);
  }
  for (auto& [owner, request] : byOwner) {
    if (!owner.empty()) {
      sendRenewal(owner, std::move(request));
    }
  }
}

void SlotRenewer::sendRenewal(const NodeId& owner, RenewSlots request) {
  request.requestNumber = ++lastRequestNumber_;
  requestsSentAt_[lastRequestNumber_] = context_.now();
  context_.send(owner, request);
}

void SlotRenewer::evictOldRequests() {
  const Time oldest = context_.now() - kSentRequestRetention;
  while (!requestsSentAt_.empty() && requestsSentAt_.begin()->second < oldest) {
    requestsSentAt_.erase(requestsSentAt_.begin());
  }
}

void SlotRenewer::onReply(const NodeId& from, const RenewSlotsReply& reply) {
  if (predatesRecovery(reply.partition, reply.epoch) && reply.epoch != 0) {
    return;
  }
  for (const RenewedSlot& slot : reply.slots) {
    applyRenewal(from, reply, slot);
  }
}

void SlotRenewer::applyRenewal(const NodeId& from, const RenewSlotsReply& reply,
                               const RenewedSlot& slot) {
  const auto found = leases_.find(slot.token);
  if (found == leases_.end()) {
    if (slot.outcome == SlotOutcome::Granted) {
      releaser_.releaseAgain(slot.token);
    }
    return;
  }
  switch (slot.outcome) {
  case SlotOutcome::Granted:
    confirm(found->second, reply, slot.number);
    break;
  case SlotOutcome::NotOwner:
    renewElsewhere(found->second, from, reply.ownerHint);
    break;
  case SlotOutcome::Overcommitted:
    context_.counters().add("slot_over_admissions_total");
    leases_.erase(found);
    break;
  case SlotOutcome::Released:
    leases_.erase(found);
    break;
  default:
    break;  // Sent again after `kRenewalRetry`.
  }
}

/// The owner counts the time to live from the arrival of the request, so the holder may count it
/// from when the request was sent.
void SlotRenewer::confirm(RenewedLease& lease, const RenewSlotsReply& reply, std::uint32_t number) {
  lease.claim.number = number;
  const auto sentAt = requestsSentAt_.find(reply.requestNumber);
  if (sentAt != requestsSentAt_.end()) {
    lease.validUntil = std::max(lease.validUntil, sentAt->second + timeToLive(lease.claim));
  }
  lease.target = {};
  lease.attempt = 0;
  lease.renewAt = nextRenewal(lease.claim);
}

void SlotRenewer::renewElsewhere(RenewedLease& lease, const NodeId& from, const NodeId& hint) {
  if (from != lease.target) {
    return;
  }
  if (!hint.empty() && hint != from) {
    locator_.redirected(lease.partition, hint);
    lease.attempt = 0;
    lease.target = {};
  }
  lease.renewAt = std::min(lease.renewAt, context_.now() + kHolderTick);
}

void SlotRenewer::answerQuery(const NodeId& owner, const std::vector<SlotClaim>& claims) {
  RenewSlots renewal;
  for (const SlotClaim& claim : claims) {
    const auto lease = leases_.find(claim.token);
    if (lease != leases_.end()) {
      renewal.claims.push_back(lease->second.claim);
    }
  }
  if (!renewal.claims.empty()) {
    sendRenewal(owner, std::move(renewal));
  }
}

bool SlotRenewer::predatesRecovery(const PartitionId& partition, std::uint64_t epoch) const {
  const auto found = recoveredEpochs_.find(partition);
  return found != recoveredEpochs_.end() && epoch < found->second;
}

/// After this answer the owner may grant every number that it does not name, so a grant of an older
/// epoch that is still in flight must not be taken for valid.
void SlotRenewer::onRecoveryNotice(const NodeId& from, const RecoveryNotice& notice) {
  if (predatesRecovery(notice.partition, notice.epoch)) {
    return;
  }
  if (discardOldGrants_) {
    recoveredEpochs_[notice.partition] = notice.epoch;
  }
  locator_.redirected(notice.partition, from);
  RenewSlots answer;
  answer.complete = true;
  answer.partition = notice.partition;
  answer.epoch = notice.epoch;
  for (const auto& [token, lease] : leases_) {
    if (lease.partition == notice.partition) {
      answer.claims.push_back(lease.claim);
    }
  }
  sendRenewal(from, std::move(answer));
}

}  // namespace shedshed

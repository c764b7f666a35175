#include "slots/slot_holder.h"

#include "slots/slot_pool.h"

#include <algorithm>
#include <utility>

namespace shedshed {
namespace {

/// An answer to a renewal that comes later than this is ignored.
constexpr Duration kRoundMemory = std::chrono::seconds(10);

}  // namespace

SlotHolder::SlotHolder(CoreContext& context, OwnerLocator& locator, SlotSafeguards safeguards)
    : context_(context), locator_(locator), safeguards_(safeguards) {}

Duration SlotHolder::timeToLive(const SlotClaim& claim) {
  return std::chrono::milliseconds(claim.timeToLiveMilliseconds);
}

void SlotHolder::add(const SlotClaim& claim, Time sentAt) {
  HeldSlot held;
  held.claim = claim;
  held.partition = poolPartition(claim.pool());
  held.validUntil = sentAt + timeToLive(claim);
  held.renewAt = nextRenewal(claim);
  held_[claim.token] = std::move(held);
}

/// All slots fall due together, so that one message per owner renews them all.
Time SlotHolder::nextRenewal(const SlotClaim& claim) {
  const Time now = context_.now();
  const Time latest = now + timeToLive(claim) / kRenewalsPerTimeToLive;
  if (nextRenewalTime_ <= now || nextRenewalTime_ > latest) {
    nextRenewalTime_ = latest;
  }
  return nextRenewalTime_;
}

bool SlotHolder::holds(const OwnerToken& token) const {
  return held_.count(token) != 0;
}

std::vector<HolderLease> SlotHolder::leases() const {
  std::vector<HolderLease> result;
  for (const auto& entry : held_) {
    result.push_back({entry.second.claim, entry.second.validUntil});
  }
  return result;
}

void SlotHolder::tick() {
  sendRenewals();
  sendReleases();
  forgetRounds();
}

// ---- Release

void SlotHolder::release(const OwnerToken& token) {
  const auto found = held_.find(token);
  if (found == held_.end()) {
    return;
  }
  const SlotClaim claim = found->second.claim;
  held_.erase(found);
  startRelease(claim);
}

void SlotHolder::abandon(const SlotClaim& claim) {
  if (safeguards_.releaseLateGrants) {
    startRelease(claim);
  }
}

bool SlotHolder::releaseAgain(const OwnerToken& token) {
  const auto found = releasing_.find(token);
  if (found == releasing_.end()) {
    return false;
  }
  sendRelease(found->second);
  return true;
}

void SlotHolder::startRelease(const SlotClaim& claim) {
  ReleasingSlot releasing;
  releasing.claim = claim;
  releasing.partition = poolPartition(claim.pool());
  releasing.giveUpAt = context_.now() + timeToLive(claim);
  sendRelease(releasing_[claim.token] = std::move(releasing));
}

void SlotHolder::sendRelease(ReleasingSlot& releasing) {
  releasing.sendAt = context_.now() + kReleaseRetry;
  releasing.asked = locator_.candidate(releasing.partition, releasing.attempt);
  if (!releasing.asked.empty()) {
    const SlotClaim& claim = releasing.claim;
    context_.send(releasing.asked, ReleaseSlot{claim.limiter, claim.key, claim.token});
  }
}

void SlotHolder::sendReleases() {
  const Time now = context_.now();
  for (auto it = releasing_.begin(); it != releasing_.end();) {
    ReleasingSlot& releasing = it->second;
    if (now >= releasing.giveUpAt) {
      it = releasing_.erase(it);
      continue;
    }
    if (now >= releasing.sendAt) {
      if (!releasing.asked.empty()) {
        locator_.failed(releasing.partition, releasing.asked);
        ++releasing.attempt;
      }
      sendRelease(releasing);
    }
    ++it;
  }
}

void SlotHolder::released(const NodeId& from, const ReleaseSlotReply& reply) {
  const auto found = releasing_.find(reply.token);
  if (found == releasing_.end()) {
    return;
  }
  if (reply.outcome != SlotOutcome::NotOwner) {
    releasing_.erase(found);
    return;
  }
  ReleasingSlot& releasing = found->second;
  if (from != releasing.asked || reply.ownerHint.empty() || reply.ownerHint == from) {
    return;
  }
  locator_.redirected(releasing.partition, reply.ownerHint);
  releasing.attempt = 0;
  releasing.asked = {};
  releasing.sendAt = std::min(releasing.sendAt, context_.now() + kHolderTick);
}

// ---- Renewal

void SlotHolder::sendRenewals() {
  const Time now = context_.now();
  std::map<NodeId, RenewSlots> byOwner;
  for (auto& entry : held_) {
    HeldSlot& held = entry.second;
    if (held.renewAt > now) {
      continue;
    }
    if (!held.asked.empty()) {
      locator_.failed(held.partition, held.asked);
      ++held.attempt;
    }
    held.asked = locator_.candidate(held.partition, held.attempt);
    held.renewAt = now + kRenewalRetry;
    byOwner[held.asked].claims.push_back(held.claim);
  }
  for (auto& entry : byOwner) {
    if (!entry.first.empty()) {
      entry.second.round = ++lastRound_;
      rounds_[lastRound_] = now;
      context_.send(entry.first, entry.second);
    }
  }
}

void SlotHolder::forgetRounds() {
  const Time oldest = context_.now() - kRoundMemory;
  while (!rounds_.empty() && rounds_.begin()->second < oldest) {
    rounds_.erase(rounds_.begin());
  }
}

void SlotHolder::renewed(const NodeId& from, const RenewSlotsReply& reply) {
  if (predatesRecovery(reply.partition, reply.epoch) && reply.epoch != 0) {
    return;
  }
  for (const RenewedSlot& slot : reply.slots) {
    applyRenewal(from, reply, slot);
  }
}

void SlotHolder::applyRenewal(const NodeId& from, const RenewSlotsReply& reply,
                              const RenewedSlot& slot) {
  const auto found = held_.find(slot.token);
  if (found == held_.end()) {
    if (slot.outcome == SlotOutcome::Granted) {
      releaseAgain(slot.token);
    }
    return;
  }
  HeldSlot& held = found->second;
  const auto round = rounds_.find(reply.round);
  switch (slot.outcome) {
  case SlotOutcome::Granted:
    held.claim.number = slot.number;
    if (round != rounds_.end()) {
      held.validUntil = std::max(held.validUntil, round->second + timeToLive(held.claim));
    }
    held.asked = {};
    held.attempt = 0;
    held.renewAt = nextRenewal(held.claim);
    break;
  case SlotOutcome::NotOwner:
    renewElsewhere(held, from, reply.ownerHint);
    break;
  case SlotOutcome::Overcommitted:
    context_.counters().add("slot_over_admissions_total");
    held_.erase(found);
    break;
  case SlotOutcome::Released:
    held_.erase(found);
    break;
  default:
    break;  // Asked again after `kRenewalRetry`.
  }
}

void SlotHolder::renewElsewhere(HeldSlot& held, const NodeId& from, const NodeId& hint) {
  if (from != held.asked) {
    return;
  }
  if (!hint.empty() && hint != from) {
    locator_.redirected(held.partition, hint);
    held.attempt = 0;
    held.asked = {};
  }
  held.renewAt = std::min(held.renewAt, context_.now() + kHolderTick);
}

void SlotHolder::answerCheck(const NodeId& from, const std::vector<SlotClaim>& claims,
                             const std::vector<SlotClaim>& unknown) {
  RenewSlots renewal;
  for (const SlotClaim& claim : claims) {
    const auto held = held_.find(claim.token);
    if (held != held_.end()) {
      renewal.claims.push_back(held->second.claim);
    }
  }
  if (!renewal.claims.empty()) {
    renewal.round = ++lastRound_;
    rounds_[lastRound_] = context_.now();
    context_.send(from, renewal);
  }
  for (const SlotClaim& claim : unknown) {
    context_.send(from, ReleaseSlot{claim.limiter, claim.key, claim.token});
  }
}

// ---- Recovery

bool SlotHolder::predatesRecovery(const PartitionId& partition, std::uint64_t epoch) const {
  const auto found = recoveredEpochs_.find(partition);
  return found != recoveredEpochs_.end() && epoch < found->second;
}

/// After this answer the owner may grant every number that it does not name, so a grant of an older
/// epoch that is still on its way must not be taken for valid.
void SlotHolder::recoveryNoticed(const NodeId& from, const RecoveryNotice& notice) {
  if (predatesRecovery(notice.partition, notice.epoch)) {
    return;
  }
  if (safeguards_.discardOldGrants) {
    recoveredEpochs_[notice.partition] = notice.epoch;
  }
  locator_.redirected(notice.partition, from);
  RenewSlots answer;
  answer.complete = true;
  answer.partition = notice.partition;
  answer.epoch = notice.epoch;
  answer.round = ++lastRound_;
  rounds_[lastRound_] = context_.now();
  for (const auto& entry : held_) {
    if (entry.second.partition == notice.partition) {
      answer.claims.push_back(entry.second.claim);
    }
  }
  context_.send(from, answer);
}

}  // namespace shedshed

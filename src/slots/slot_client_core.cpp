#include "slots/slot_client_core.h"

#include "slots/pool_rates.h"
#include "slots/slot_pool.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shedshed {
namespace {

/// Timer ids from 1 on belong to acquisitions.
constexpr TimerId kHolderTimer = 0;

std::vector<std::size_t> askingOrder(const std::vector<SlotLimit>& limits) {
  std::vector<std::size_t> order;
  for (std::size_t index = 0; index < limits.size(); ++index) {
    order.push_back(index);
  }
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    const PoolName& a = limits[left].pool;
    const PoolName& b = limits[right].pool;
    return std::tie(a.limiter, a.key, left) < std::tie(b.limiter, b.key, right);
  });
  return order;
}

Duration smallestBlock(const std::vector<SlotLimit>& limits) {
  Duration smallest = Duration::max();
  for (const SlotLimit& limit : limits) {
    smallest = std::min(smallest, limit.block);
  }
  return limits.empty() ? Duration{0} : smallest;
}

/// Varies @p poll by up to half of it in both directions.
Duration jitteredPoll(Duration poll, RandomEngine& random) {
  const std::uint64_t span = static_cast<std::uint64_t>(std::max<Duration::rep>(poll.count(), 1));
  return poll / 2 + Duration(static_cast<Duration::rep>(random() % (span + 1)));
}

}  // namespace

SlotClientCore::SlotClientCore(CoreContext& context, OwnerLocator& locator,
                               SlotClientOptions options)
    : context_(context), locator_(locator), options_(options),
      holder_(context, locator, options.safeguards) {}

void SlotClientCore::start() {
  context_.startTimer(kHolderTimer, kHolderTick);
}

void SlotClientCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<AcquireSlotReply>(
      message, [&](const AcquireSlotReply& typed) { answered(from, typed); }) ||
      dispatchMessage<ReleaseSlotReply>(
          message, [&](const ReleaseSlotReply& typed) { holder_.released(from, typed); }) ||
      dispatchMessage<RenewSlotsReply>(
          message, [&](const RenewSlotsReply& typed) { holder_.renewed(from, typed); }) ||
      dispatchMessage<RecoveryNotice>(
          message, [&](const RecoveryNotice& typed) { holder_.recoveryNoticed(from, typed); }) ||
      dispatchMessage<GrantedSlotsQuery>(
          message, [&](const GrantedSlotsQuery& typed) { checkHeld(from, typed); });
}

void SlotClientCore::timerExpired(TimerId timer) {
  if (timer == kHolderTimer) {
    holder_.tick();
    context_.startTimer(kHolderTimer, kHolderTick);
    return;
  }
  const auto found = acquisitions_.find(timer);
  if (found == acquisitions_.end()) {
    return;
  }
  if (found->second.polling) {
    beginRound(timer);
  } else {
    tryTimedOut(timer);
  }
}

// ---- Acquisition

void SlotClientCore::acquire(SlotRequest request, Done done) {
  const std::uint64_t id = ++lastId_;
  Acquisition acquisition;
  acquisition.order = askingOrder(request.limits);
  acquisition.blockUntil = context_.now() + smallestBlock(request.limits);
  acquisition.request = std::move(request);
  acquisition.done = std::move(done);
  const bool unlimited = acquisition.order.empty();
  acquisitions_[id] = std::move(acquisition);
  if (unlimited) {
    context_.defer([this, id] { finishGranted(id); });
    return;
  }
  beginRound(id);
}

void SlotClientCore::beginRound(std::uint64_t id) {
  Acquisition& acquisition = acquisitions_.at(id);
  acquisition.polling = false;
  acquisition.position = 0;
  acquisition.slots.assign(acquisition.request.limits.size(), SlotGrant::Slot{});
  beginLimit(id);
}

void SlotClientCore::beginLimit(std::uint64_t id) {
  Acquisition& acquisition = acquisitions_.at(id);
  if (acquisition.position == acquisition.order.size()) {
    finishGranted(id);
    return;
  }
  const SlotLimit& limit = currentLimit(acquisition);
  SlotClaim claim;
  claim.limiter = limit.pool.limiter;
  claim.key = limit.pool.key;
  claim.token = newToken();
  claim.timeToLiveMilliseconds = toMilliseconds(limit.timeToLive);
  claim.serviceClass = acquisition.request.serviceClass;
  asking_[claim.token] = id;
  acquisition.claim = std::move(claim);
  acquisition.candidate = 0;
  acquisition.redirects = 0;
  acquisition.requests = 0;
  acquisition.firstSentAt = context_.now();
  const Duration own = acquisition.request.storeDeadline;
  acquisition.storeDeadline = context_.now() + (own > Duration{0} ? own : options_.storeDeadline);
  ask(id);
}

void SlotClientCore::ask(std::uint64_t id) {
  Acquisition& acquisition = acquisitions_.at(id);
  const PartitionId partition = poolPartition(acquisition.claim.pool());
  acquisition.attempt = ++lastAttempt_;
  acquisition.asked = locator_.candidate(partition, acquisition.candidate);
  if (!acquisition.asked.empty()) {
    ++acquisition.requests;
    AcquireSlot request;
    request.attempt = acquisition.attempt;
    request.claim = acquisition.claim;
    const auto& share = acquisition.request.shareRequest;
    if (share && acquisition.claim.limiter == kBatchLimiter) {
      request.run = share->run;
      request.dueInMilliseconds = toMilliseconds(share->dueIn);
      request.requestedSlots = share->requestedSlots;
    }
    context_.send(acquisition.asked, request);
  }
  retryAt(id, kAttemptTimeout);
}

void SlotClientCore::retryAt(std::uint64_t id, Duration pause) {
  const Duration left = acquisitions_.at(id).storeDeadline - context_.now();
  context_.startTimer(id, std::max(Duration{0}, std::min(pause, left)));
}

/// The owner was silent, or a pause has ended: asks the next candidate with the same token.
void SlotClientCore::tryTimedOut(std::uint64_t id) {
  Acquisition& acquisition = acquisitions_.at(id);
  if (context_.now() >= acquisition.storeDeadline) {
    storeFailed(id);
    return;
  }
  if (!acquisition.asked.empty()) {
    locator_.failed(poolPartition(acquisition.claim.pool()), acquisition.asked);
    ++acquisition.candidate;
  }
  ask(id);
}

/// A token that is neither held nor being asked for is one of an earlier life of this node, or was
/// given up: no call counts on it and none ever will.
void SlotClientCore::checkHeld(const NodeId& from, const GrantedSlotsQuery& query) {
  std::vector<SlotClaim> unknown;
  for (const SlotClaim& claim : query.claims) {
    if (!holder_.holds(claim.token) && asking_.count(claim.token) == 0) {
      unknown.push_back(claim);
    }
  }
  holder_.answerCheck(from, query.claims, unknown);
}

void SlotClientCore::answered(const NodeId& from, const AcquireSlotReply& reply) {
  const auto found = asking_.find(reply.claim.token);
  if (found == asking_.end()) {
    if (reply.outcome == SlotOutcome::Granted) {
      releaseLateGrant(reply.claim);
    }
    return;
  }
  const std::uint64_t id = found->second;
  Acquisition& acquisition = acquisitions_.at(id);
  if (reply.shareAssigned && acquisition.request.onShareAssigned) {
    acquisition.request.onShareAssigned({reply.share, reply.free});
  }
  if (reply.outcome == SlotOutcome::Granted) {
    granted(id, reply);
  } else if (reply.outcome == SlotOutcome::Full) {
    refused(id, reply.poolSize);
  } else if (reply.attempt != acquisition.attempt || acquisition.asked.empty()) {
    return;  // An older try; the current one is still open.
  } else if (reply.outcome == SlotOutcome::NotOwner) {
    redirected(id, from, reply);
  } else {
    acquisition.asked = {};  // Not silent: asked again, not passed over.
    retryAt(id, kAttemptPause);
  }
}

/// A grant that is already past its own time to live, or of an epoch whose memory was lost since,
/// is not one: the same token asks again.
void SlotClientCore::granted(std::uint64_t id, const AcquireSlotReply& reply) {
  Acquisition& acquisition = acquisitions_.at(id);
  const PartitionId partition = poolPartition(acquisition.claim.pool());
  const Duration timeToLive = std::chrono::milliseconds(acquisition.claim.timeToLiveMilliseconds);
  if (holder_.predatesRecovery(partition, reply.epoch) ||
      context_.now() >= acquisition.firstSentAt + timeToLive) {
    return;
  }
  acquisition.claim.number = reply.claim.number;
  asking_.erase(acquisition.claim.token);
  if (currentLimit(acquisition).untilExpiry) {
    acquisition.expiring.push_back(acquisition.claim);
  } else {
    holder_.add(acquisition.claim, acquisition.firstSentAt);
    acquisition.taken.push_back(acquisition.claim.token);
  }
  SlotGrant::Slot& slot = acquisition.slots[acquisition.order[acquisition.position]];
  slot = {acquisition.claim.pool(), acquisition.claim.number, false, reply.engine};
  ++acquisition.position;
  beginLimit(id);
}

void SlotClientCore::redirected(std::uint64_t id, const NodeId& from,
                                const AcquireSlotReply& reply) {
  Acquisition& acquisition = acquisitions_.at(id);
  const PartitionId partition = poolPartition(acquisition.claim.pool());
  const bool useful = !reply.ownerHint.empty() && reply.ownerHint != from;
  if (!useful) {
    retryAt(id, kAttemptPause);
    return;
  }
  locator_.redirected(partition, reply.ownerHint);
  acquisition.candidate = 0;
  if (++acquisition.redirects <= kImmediateRedirects) {
    ask(id);
    return;
  }
  acquisition.asked = {};
  acquisition.redirects = 0;
  retryAt(id, kAttemptPause);
}

void SlotClientCore::refused(std::uint64_t id, std::uint32_t poolSize) {
  Acquisition& acquisition = acquisitions_.at(id);
  asking_.erase(acquisition.claim.token);
  if (acquisition.requests > 1) {
    holder_.abandon(acquisition.claim);  // Another of the requests may still be granted.
  }
  const Duration poll = jitteredPoll(currentLimit(acquisition).poll, context_.random());
  const bool waits = poolSize > 0 && context_.now() + poll <= acquisition.blockUntil;
  if (!waits) {
    finishRefused(id, ErrorCode::PoolFull);
    return;
  }
  giveBack(acquisition);
  acquisition.polling = true;
  context_.startTimer(id, poll);
}

void SlotClientCore::storeFailed(std::uint64_t id) {
  Acquisition& acquisition = acquisitions_.at(id);
  asking_.erase(acquisition.claim.token);
  holder_.abandon(acquisition.claim);
  if (!failsOpen(currentLimit(acquisition))) {
    finishRefused(id, ErrorCode::StoreUnavailable);
    return;
  }
  context_.counters().add("slot_fail_open_total");
  SlotGrant::Slot& slot = acquisition.slots[acquisition.order[acquisition.position]];
  slot = {acquisition.claim.pool(), 0, true, {}};
  ++acquisition.position;
  beginLimit(id);
}

/// Room lent to batches is never taken on trust.
bool SlotClientCore::failsOpen(const SlotLimit& limit) const {
  return limit.failOpen && limit.pool.limiter != kBatchLimiter;
}

void SlotClientCore::giveBack(Acquisition& acquisition) {
  for (const OwnerToken& token : acquisition.taken) {
    holder_.release(token);
  }
  acquisition.taken.clear();
  for (const SlotClaim& claim : acquisition.expiring) {
    holder_.abandon(claim);
  }
  acquisition.expiring.clear();
}

void SlotClientCore::finishGranted(std::uint64_t id) {
  Acquisition acquisition = std::move(acquisitions_.at(id));
  acquisitions_.erase(id);
  context_.stopTimer(id);
  SlotGrant grant;
  grant.grantId = id;
  grant.slots = std::move(acquisition.slots);
  grants_[id] = std::move(acquisition.taken);
  acquisition.done(std::move(grant));
}

void SlotClientCore::finishRefused(std::uint64_t id, ErrorCode code) {
  Acquisition acquisition = std::move(acquisitions_.at(id));
  acquisitions_.erase(id);
  context_.stopTimer(id);
  if (options_.safeguards.releaseBeforeRefusal) {
    giveBack(acquisition);
  }
  const SlotLimit& limit = currentLimit(acquisition);
  acquisition.done(makeError(code, limit.pool.limiter + " " + limit.pool.key));
}

void SlotClientCore::releaseLateGrant(const SlotClaim& claim) {
  if (holder_.holds(claim.token)) {
    return;  // A copy of a grant that arrived before.
  }
  if (options_.safeguards.releaseLateGrants && !holder_.releaseAgain(claim.token)) {
    holder_.abandon(claim);
  }
}

// ---- Release

void SlotClientCore::release(std::uint64_t grantId) {
  const auto found = grants_.find(grantId);
  if (found == grants_.end()) {
    return;
  }
  for (const OwnerToken& token : found->second) {
    holder_.release(token);
  }
  grants_.erase(found);
}

const SlotLimit& SlotClientCore::currentLimit(const Acquisition& acquisition) const {
  return acquisition.request.limits[acquisition.order[acquisition.position]];
}

OwnerToken SlotClientCore::newToken() {
  const std::uint64_t high = context_.random()();
  const std::uint64_t low = context_.random()();
  return {high, low};
}

}  // namespace shedshed

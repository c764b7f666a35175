#include "slots/slot_client_core.h"

#include "slots/pool_rates.h"
#include "slots/slot_pool.h"

#include <algorithm>
#include <utility>

namespace shedshed {
namespace {

/// Timer ids from 1 on belong to acquisitions.
constexpr TimerId kHolderTimer = 0;

/// Varies @p poll by up to half of it in both directions.
Duration jitteredPoll(Duration poll, RandomEngine& random) {
  const std::uint64_t span = static_cast<std::uint64_t>(std::max<Duration::rep>(poll.count(), 1));
  return poll / 2 + Duration(static_cast<Duration::rep>(random() % (span + 1)));
}

/// Capacity lent to batches is never taken without a grant.
bool failsOpen(const SlotLimit& limit) {
  return limit.failOpen && limit.pool.limiter != kBatchLimiter;
}

}  // namespace

SlotClientCore::SlotClientCore(CoreContext& context, OwnerLocator& locator,
                               SlotClientOptions options)
    : context_(context), locator_(locator), options_(options), releaser_(context, locator),
      renewer_(context, locator, releaser_, options.safeguards.discardOldGrants) {}

void SlotClientCore::start() {
  context_.startTimer(kHolderTimer, kHolderTick);
}

void SlotClientCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<AcquireSlotReply>(message,
                                    [&](const AcquireSlotReply& typed) { onReply(from, typed); }) ||
      dispatchMessage<ReleaseSlotReply>(
          message, [&](const ReleaseSlotReply& typed) { releaser_.onReply(from, typed); }) ||
      dispatchMessage<RenewSlotsReply>(
          message, [&](const RenewSlotsReply& typed) { renewer_.onReply(from, typed); }) ||
      dispatchMessage<RecoveryNotice>(
          message, [&](const RecoveryNotice& typed) { renewer_.onRecoveryNotice(from, typed); }) ||
      dispatchMessage<GrantedSlotsQuery>(
          message, [&](const GrantedSlotsQuery& typed) { onGrantedSlotsQuery(from, typed); });
}

void SlotClientCore::timerExpired(TimerId timer) {
  if (timer == kHolderTimer) {
    renewer_.tick();
    releaser_.tick();
    context_.startTimer(kHolderTimer, kHolderTick);
    return;
  }
  const auto found = acquisitions_.find(timer);
  if (found == acquisitions_.end()) {
    return;
  }
  if (found->second.polling()) {
    requestAllLimits(timer);
  } else {
    onRequestTimeout(timer);
  }
}

// ---- Requests

void SlotClientCore::acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) {
  const std::uint64_t id = ++lastAcquisitionId_;
  const auto added = acquisitions_.emplace(
      id, SlotAcquisition(std::move(request), std::move(done), context_.now()));
  if (added.first->second.complete()) {
    context_.defer([this, id] { finishGranted(id); });
    return;
  }
  requestAllLimits(id);
}

void SlotClientCore::requestAllLimits(std::uint64_t id) {
  acquisitions_.at(id).restart();
  requestCurrentLimit(id);
}

void SlotClientCore::requestCurrentLimit(std::uint64_t id) {
  SlotAcquisition& acquisition = acquisitions_.at(id);
  if (acquisition.complete()) {
    finishGranted(id);
    return;
  }
  const Duration requested = acquisition.request().storeDeadline;
  const Duration wait = requested > Duration{0} ? requested : options_.storeDeadline;
  const OwnerToken token = newToken();
  acquisition.startLimit(token, context_.now(), context_.now() + wait);
  requestedTokens_[token] = id;
  sendRequest(id);
}

void SlotClientCore::sendRequest(std::uint64_t id) {
  SlotAcquisition& acquisition = acquisitions_.at(id);
  LimitAttempt& attempt = acquisition.attempt();
  attempt.attempt = ++lastAttempt_;
  attempt.target = locator_.candidate(poolPartition(attempt.claim.pool()), attempt.candidate);
  if (!attempt.target.empty()) {
    ++attempt.requests;
    AcquireSlot request;
    request.attempt = attempt.attempt;
    request.claim = attempt.claim;
    const auto& share = acquisition.request().shareRequest;
    if (share && attempt.claim.limiter == kBatchLimiter) {
      request.run = share->run;
      request.dueInMilliseconds = toMilliseconds(share->dueIn);
      request.requestedSlots = share->requestedSlots;
    }
    context_.send(attempt.target, request);
  }
  scheduleRetry(id, kAttemptTimeout);
}

void SlotClientCore::scheduleRetry(std::uint64_t id, Duration backoff) {
  const Duration left = acquisitions_.at(id).attempt().storeDeadline - context_.now();
  context_.startTimer(id, std::max(Duration{0}, std::min(backoff, left)));
}

/// The owner did not answer, or a backoff has ended: the request is sent to the next candidate with
/// the same token, so that at most one slot is granted.
void SlotClientCore::onRequestTimeout(std::uint64_t id) {
  LimitAttempt& attempt = acquisitions_.at(id).attempt();
  if (context_.now() >= attempt.storeDeadline) {
    onStoreFailed(id);
    return;
  }
  if (!attempt.target.empty()) {
    locator_.failed(poolPartition(attempt.claim.pool()), attempt.target);
    ++attempt.candidate;
  }
  sendRequest(id);
}

// ---- Answers

void SlotClientCore::onReply(const NodeId& from, const AcquireSlotReply& reply) {
  const auto found = requestedTokens_.find(reply.claim.token);
  if (found == requestedTokens_.end()) {
    if (reply.outcome == SlotOutcome::Granted) {
      releaseLateGrant(reply.claim);
    }
    return;
  }
  const std::uint64_t id = found->second;
  SlotAcquisition& acquisition = acquisitions_.at(id);
  if (reply.shareAssigned && acquisition.request().onShareAssigned) {
    acquisition.request().onShareAssigned({reply.share, reply.free});
  }
  LimitAttempt& attempt = acquisition.attempt();
  if (reply.outcome == SlotOutcome::Granted) {
    onGranted(id, reply);
  } else if (reply.outcome == SlotOutcome::Full) {
    onPoolFull(id, reply.poolSize);
  } else if (reply.attempt != attempt.attempt || attempt.target.empty()) {
    return;  // Answers an older request; the current one is still open.
  } else if (reply.outcome == SlotOutcome::NotOwner) {
    onRedirected(id, from, reply);
  } else {
    attempt.target = {};  // It has answered, so it is retried, not skipped.
    scheduleRetry(id, kAttemptBackoff);
  }
}

/// Ignores a grant that has already outlived its time to live, or whose epoch precedes a loss of
/// memory: the same token is requested again.
void SlotClientCore::onGranted(std::uint64_t id, const AcquireSlotReply& reply) {
  SlotAcquisition& acquisition = acquisitions_.at(id);
  const LimitAttempt& attempt = acquisition.attempt();
  if (renewer_.predatesRecovery(poolPartition(attempt.claim.pool()), reply.epoch) ||
      context_.now() >= attempt.firstSentAt + timeToLive(attempt.claim)) {
    return;
  }
  requestedTokens_.erase(attempt.claim.token);
  const bool renewed = !acquisition.currentLimit().untilExpiry;
  acquisition.addGrantedSlot(reply.claim.number, reply.engine);
  if (renewed) {
    renewer_.add(attempt.claim, attempt.firstSentAt);
  }
  requestCurrentLimit(id);
}

void SlotClientCore::onRedirected(std::uint64_t id, const NodeId& from,
                                  const AcquireSlotReply& reply) {
  LimitAttempt& attempt = acquisitions_.at(id).attempt();
  const bool useful = !reply.ownerHint.empty() && reply.ownerHint != from;
  if (!useful) {
    scheduleRetry(id, kAttemptBackoff);
    return;
  }
  locator_.redirected(poolPartition(attempt.claim.pool()), reply.ownerHint);
  attempt.candidate = 0;
  if (++attempt.redirects <= kImmediateRedirects) {
    sendRequest(id);
    return;
  }
  attempt.target = {};
  attempt.redirects = 0;
  scheduleRetry(id, kAttemptBackoff);
}

void SlotClientCore::onPoolFull(std::uint64_t id, std::uint32_t poolSize) {
  SlotAcquisition& acquisition = acquisitions_.at(id);
  requestedTokens_.erase(acquisition.attempt().claim.token);
  if (acquisition.attempt().requests > 1) {
    abandon(acquisition.attempt().claim);  // Another of the requests may still be granted.
  }
  const Duration poll = jitteredPoll(acquisition.currentLimit().poll, context_.random());
  const bool waits = poolSize > 0 && acquisition.mayBlock(poll, context_.now());
  if (!waits) {
    finishRejected(id, ErrorCode::PoolFull, poolSize);
    return;
  }
  releaseGranted(acquisition);
  acquisition.startPolling();
  context_.startTimer(id, poll);
}

void SlotClientCore::onStoreFailed(std::uint64_t id) {
  SlotAcquisition& acquisition = acquisitions_.at(id);
  requestedTokens_.erase(acquisition.attempt().claim.token);
  abandon(acquisition.attempt().claim);
  if (!failsOpen(acquisition.currentLimit())) {
    finishRejected(id, ErrorCode::StoreUnavailable);
    return;
  }
  context_.counters().add("slot_fail_open_total");
  acquisition.continueWithoutSlot();
  requestCurrentLimit(id);
}

/// A token that is neither held nor requested belongs to an earlier process of this node or was
/// abandoned: no call relies on it, now or later.
void SlotClientCore::onGrantedSlotsQuery(const NodeId& from, const GrantedSlotsQuery& query) {
  renewer_.answerQuery(from, query.claims);
  for (const SlotClaim& claim : query.claims) {
    if (!renewer_.holds(claim.token) && requestedTokens_.count(claim.token) == 0) {
      context_.send(from, ReleaseSlot{claim.limiter, claim.key, claim.token});
    }
  }
}

// ---- End of an acquisition

void SlotClientCore::finishGranted(std::uint64_t id) {
  SlotAcquisition acquisition = std::move(acquisitions_.at(id));
  acquisitions_.erase(id);
  context_.stopTimer(id);
  grants_[id] = acquisition.renewedTokens();
  acquisition.finishGranted(id);
}

void SlotClientCore::finishRejected(std::uint64_t id, ErrorCode code,
                                    std::optional<std::uint32_t> poolSize) {
  SlotAcquisition acquisition = std::move(acquisitions_.at(id));
  acquisitions_.erase(id);
  context_.stopTimer(id);
  if (options_.safeguards.releaseBeforeRefusal) {
    releaseGranted(acquisition);
  }
  acquisition.finishRejected(code, poolSize);
}

void SlotClientCore::releaseGranted(SlotAcquisition& acquisition) {
  for (const OwnerToken& token : acquisition.renewedTokens()) {
    renewer_.release(token);
  }
  for (const SlotClaim& claim : acquisition.expiringClaims()) {
    abandon(claim);
  }
  acquisition.clearGranted();
}

void SlotClientCore::abandon(const SlotClaim& claim) {
  if (options_.safeguards.releaseLateGrants) {
    releaser_.release(claim);
  }
}

void SlotClientCore::releaseLateGrant(const SlotClaim& claim) {
  if (renewer_.holds(claim.token)) {
    return;  // A copy of a grant that arrived before.
  }
  if (options_.safeguards.releaseLateGrants && !releaser_.releaseAgain(claim.token)) {
    releaser_.release(claim);
  }
}

void SlotClientCore::release(std::uint64_t grantId) {
  const auto found = grants_.find(grantId);
  if (found == grants_.end()) {
    return;
  }
  for (const OwnerToken& token : found->second) {
    renewer_.release(token);
  }
  grants_.erase(found);
}

OwnerToken SlotClientCore::newToken() {
  const std::uint64_t high = context_.random()();
  const std::uint64_t low = context_.random()();
  return {high, low};
}

}  // namespace shedshed

#include "slots/slot_releaser.h"

#include "slots/slot_lease_timing.h"
#include "slots/slot_pool.h"

#include <algorithm>
#include <utility>

namespace shedshed {

void SlotReleaser::release(const SlotClaim& claim) {
  PendingRelease release;
  release.claim = claim;
  release.partition = poolPartition(claim.pool());
  release.expiresAt = context_.now() + timeToLive(claim);
  send(pending_[claim.token] = std::move(release));
}

bool SlotReleaser::releaseAgain(const OwnerToken& token) {
  const auto found = pending_.find(token);
  if (found == pending_.end()) {
    return false;
  }
  send(found->second);
  return true;
}

void SlotReleaser::send(PendingRelease& release) {
  release.sendAt = context_.now() + kReleaseRetry;
  release.target = locator_.candidate(release.partition, release.attempt);
  if (!release.target.empty()) {
    const SlotClaim& claim = release.claim;
    context_.send(release.target, ReleaseSlot{claim.limiter, claim.key, claim.token});
  }
}

void SlotReleaser::tick() {
  const Time now = context_.now();
  for (auto it = pending_.begin(); it != pending_.end();) {
    PendingRelease& release = it->second;
    if (now >= release.expiresAt) {
      it = pending_.erase(it);
      continue;
    }
    if (now >= release.sendAt) {
      if (!release.target.empty()) {
        locator_.failed(release.partition, release.target);
        ++release.attempt;
      }
      send(release);
    }
    ++it;
  }
}

void SlotReleaser::onReply(const NodeId& from, const ReleaseSlotReply& reply) {
  const auto found = pending_.find(reply.token);
  if (found == pending_.end()) {
    return;
  }
  if (reply.outcome != SlotOutcome::NotOwner) {
    pending_.erase(found);
    return;
  }
  PendingRelease& release = found->second;
  if (from != release.target || reply.ownerHint.empty() || reply.ownerHint == from) {
    return;
  }
  locator_.redirected(release.partition, reply.ownerHint);
  release.attempt = 0;
  release.target = {};
  release.sendAt = std::min(release.sendAt, context_.now() + kHolderTick);
}

}  // namespace shedshed

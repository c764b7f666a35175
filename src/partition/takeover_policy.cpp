#include "partition/takeover_policy.h"

#include <algorithm>
#include <utility>

namespace shedshed {

TakeoverPolicy::TakeoverPolicy(const StoreSet& stores, NodeId self, PartitionId partition)
    : stores_(stores), self_(std::move(self)), partition_(partition) {}

bool TakeoverPolicy::shouldTakeOver(const KnownOwner& owner, std::uint64_t installedEpoch,
                                    Time now) {
  const std::vector<NodeId> order = stores_.liveOrder(partition_);
  const auto found = std::find(order.begin(), order.end(), self_);
  const auto rank = static_cast<std::size_t>(found - order.begin());
  if (rank != 0) {
    firstInOrderSince_.reset();
  } else if (!firstInOrderSince_) {
    firstInOrderSince_ = now;
  }
  if (found == order.end()) {
    return false;
  }
  if (rank != 0) {
    return now - owner.lastMessageAt() >= kCandidateTimeout * rank;
  }
  if (!isActive(owner, now)) {
    return true;
  }
  const bool upToDate = installedEpoch == owner.owner()->epoch;
  // A draining owner serves until then, so service is interrupted only for the takeover itself.
  if (upToDate && stores_.isDraining(owner.owner()->node)) {
    return true;
  }
  const Duration first = now - *firstInOrderSince_;
  return first >= kMaxFailbackWait || (first >= kFailbackDelay && upToDate);
}

bool TakeoverPolicy::displacesActiveOwner(const NodeId& candidate, const KnownOwner& owner,
                                          bool selfIsActive, Time now) const {
  if (!selfIsActive && !isActive(owner, now)) {
    return false;
  }
  const NodeId& active = selfIsActive ? self_ : owner.owner()->node;
  if (active == candidate) {
    return false;
  }
  const std::vector<NodeId> order = stores_.liveOrder(partition_);
  return std::find(order.begin(), order.end(), active) <
         std::find(order.begin(), order.end(), candidate);
}

bool TakeoverPolicy::isActive(const KnownOwner& owner, Time now) const {
  return owner.isActive(now) && stores_.isReachable(owner.owner()->node);
}

}  // namespace shedshed

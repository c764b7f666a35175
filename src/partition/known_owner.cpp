#include "partition/known_owner.h"

#include "partition/partition_options.h"

#include <algorithm>

namespace shedshed {

void KnownOwner::messageAccepted(const NodeId& owner, std::uint64_t epoch, Time now) {
  if (!owner_ || owner_->epoch != epoch) {
    previousSequence_ = 0;
    lastSequence_ = 0;
  }
  owner_ = Owner{owner, epoch};
  lastMessageAt_ = now;
}

void KnownOwner::heartbeatAccepted(std::uint64_t sequence) {
  previousSequence_ = lastSequence_ == 0 ? sequence : lastSequence_;
  lastSequence_ = std::max(sequence, previousSequence_);
}

bool KnownOwner::isWithinHeartbeatTimeout(Time now) const {
  return now - lastMessageAt_ < PartitionOptions::kHeartbeatTimeout;
}

}  // namespace shedshed

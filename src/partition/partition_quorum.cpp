// The counting half of `PartitionOwner`: what is on how many replicas.
#include "partition/partition_owner.h"

#include <algorithm>
#include <utility>

namespace shedshed {

bool PartitionOwner::holds(const MemberList::Member& member, std::uint64_t sequence) const {
  if (member.id == context_.self()) {
    const ReplicaPosition own = replica_.position();
    return selfInstalled_ && own.installedEpoch == outcome_.epoch && own.sequence >= sequence;
  }
  const auto found = peers_.find(member.id);
  return found != peers_.end() && found->second.storeId == member.storeId &&
         found->second.installed && found->second.acknowledged >= sequence;
}

bool PartitionOwner::majorityHolds(std::uint64_t sequence) const {
  return majorityOf(outcome_.replicas, [&](const auto& member) { return holds(member, sequence); });
}

bool PartitionOwner::allHold(std::uint64_t sequence) const {
  return std::all_of(outcome_.replicas.begin(), outcome_.replicas.end(),
                     [&](const auto& member) { return holds(member, sequence); });
}

bool PartitionOwner::installedOnMajorities() const {
  const auto installed = [this](const auto& member) { return holds(member, 0); };
  const bool previous = outcome_.previous.empty() || majorityOf(outcome_.previous, installed);
  return previous && majorityOf(outcome_.replicas, installed);
}

std::string PartitionOwner::progress() const {
  const auto installed = [this](const auto& member) { return holds(member, 0); };
  const auto count = [&](const StoreMembers& set) {
    return std::to_string(std::count_if(set.begin(), set.end(), installed)) + " of " +
           std::to_string(set.size());
  };
  return "writes back: on " + count(outcome_.replicas) + " replicas, " + count(outcome_.previous) +
         " earlier ones";
}

bool PartitionOwner::heardByMajority() const {
  const Time now = context_.now();
  return majorityOf(outcome_.replicas, [&](const MemberList::Member& member) {
    const auto found = peers_.find(member.id);
    const bool heard = found != peers_.end() && now - found->second.heardAt < kOwnershipSilence;
    return member.id == context_.self() || heard;
  });
}

bool PartitionOwner::writeComplete(const PendingWrite& write) const {
  if (!majorityHolds(write.sequence)) {
    return false;
  }
  const bool waitForAll = replica_.partition().kind == TableKind::Batches &&
                          stores_.allStaying(outcome_.replicas) &&
                          context_.now() - write.begunAt < kAllReplicasWait;
  return !waitForAll || allHold(write.sequence);
}

bool PartitionOwner::confirmed(const Confirmation& confirmation) const {
  return majorityOf(outcome_.replicas, [&](const MemberList::Member& member) {
    if (member.id == context_.self()) {
      return replica_.state().promisedEpoch == outcome_.epoch || !options_.safeguards.fencing;
    }
    const auto found = peers_.find(member.id);
    return found != peers_.end() && found->second.storeId == member.storeId &&
           found->second.round >= confirmation.round;
  });
}

std::uint64_t PartitionOwner::stableSequence() const {
  if (!serving_ || !allHold(0)) {
    return 0;
  }
  std::uint64_t stable = replica_.position().sequence;
  for (const MemberList::Member& member : outcome_.replicas) {
    if (member.id != context_.self()) {
      stable = std::min(stable, peers_.at(member.id).acknowledged);
    }
  }
  return stable;
}

void PartitionOwner::complete() {
  if (!serving_ && selfInstalled_) {
    serving_ = installedOnMajorities() || !options_.safeguards.mergeWriteBack;
  }
  const std::weak_ptr<bool> alive = alive_;
  while (!alive.expired() && !writes_.empty() && writeComplete(writes_.front())) {
    const std::function<void(Status)> done = std::move(writes_.front().done);
    writes_.pop_front();
    done(okStatus());
  }
  while (!alive.expired() && !confirmations_.empty()) {
    const Confirmation& first = confirmations_.front();
    const bool late = context_.now() - first.begunAt >= kConfirmTimeout;
    if (!confirmed(first) && !late) {
      return;
    }
    const Status status =
        confirmed(first) ? okStatus() : Status(makeError(ErrorCode::NoQuorum, "no majority"));
    const std::function<void(Status)> done = std::move(confirmations_.front().done);
    confirmations_.pop_front();
    done(status);
  }
}

std::vector<std::function<void(Status)>> PartitionOwner::takeOutstanding() {
  std::vector<std::function<void(Status)>> outstanding;
  for (PendingWrite& write : writes_) {
    outstanding.push_back(std::move(write.done));
  }
  for (Confirmation& confirmation : confirmations_) {
    outstanding.push_back(std::move(confirmation.done));
  }
  writes_.clear();
  confirmations_.clear();
  return outstanding;
}

}  // namespace shedshed

#include "partition/replication_quorum.h"

#include <algorithm>

namespace shedshed {

ReplicationQuorum::ReplicationQuorum(const ReplicationSource& source, const ReplicaPeers& peers)
    : source_(source), peers_(peers) {}

bool ReplicationQuorum::isSelf(const MemberList::Member& member) const {
  return member.id == source_.context.self();
}

const ReplicaPeer* ReplicationQuorum::peerOf(const MemberList::Member& member) const {
  const auto found = peers_.find(member.id);
  return found == peers_.end() ? nullptr : &found->second;
}

bool ReplicationQuorum::holds(const MemberList::Member& member, std::uint64_t sequence) const {
  if (isSelf(member)) {
    const ReplicaPosition own = source_.replica.position();
    return selfInstalled_ && own.installedEpoch == source_.epoch() && own.sequence >= sequence;
  }
  const ReplicaPeer* peer = peerOf(member);
  return peer != nullptr && peer->holds(member.storeId, sequence);
}

bool ReplicationQuorum::majorityHolds(std::uint64_t sequence) const {
  return majorityOf(source_.outcome.replicas,
                    [&](const auto& member) { return holds(member, sequence); });
}

bool ReplicationQuorum::allHold(std::uint64_t sequence) const {
  const StoreMembers& replicas = source_.outcome.replicas;
  return std::all_of(replicas.begin(), replicas.end(),
                     [&](const auto& member) { return holds(member, sequence); });
}

bool ReplicationQuorum::installedOnMajorities() const {
  const auto installed = [this](const auto& member) { return holds(member, 0); };
  const StoreMembers& previous = source_.outcome.previous;
  const bool onPrevious = previous.empty() || majorityOf(previous, installed);
  return onPrevious && majorityOf(source_.outcome.replicas, installed);
}

bool ReplicationQuorum::majorityConfirms(std::uint64_t round) const {
  return majorityOf(source_.outcome.replicas, [&](const MemberList::Member& member) {
    if (isSelf(member)) {
      return source_.replica.state().promisedEpoch == source_.epoch() || !source_.fencing;
    }
    const ReplicaPeer* peer = peerOf(member);
    return peer != nullptr && peer->confirms(member.storeId, round);
  });
}

bool ReplicationQuorum::majorityRepliedWithin(Duration timeout) const {
  const Time now = source_.context.now();
  return majorityOf(source_.outcome.replicas, [&](const MemberList::Member& member) {
    const ReplicaPeer* peer = peerOf(member);
    return isSelf(member) || (peer != nullptr && now - peer->lastReplyAt() < timeout);
  });
}

std::uint64_t ReplicationQuorum::lowestSequence() const {
  std::uint64_t lowest = source_.replica.position().sequence;
  for (const MemberList::Member& member : source_.outcome.replicas) {
    if (!isSelf(member)) {
      lowest = std::min(lowest, peers_.at(member.id).acknowledged());
    }
  }
  return lowest;
}

bool ReplicationQuorum::isAnyLowOnDiskSpace() const {
  const StoreMembers& replicas = source_.outcome.replicas;
  return std::any_of(replicas.begin(), replicas.end(), [this](const MemberList::Member& member) {
    const ReplicaPeer* peer = peerOf(member);
    return peer != nullptr && peer->isLowOnDiskSpace(member.storeId);
  });
}

std::string ReplicationQuorum::progress() const {
  const auto installed = [this](const auto& member) { return holds(member, 0); };
  const auto count = [&](const StoreMembers& set) {
    return std::to_string(std::count_if(set.begin(), set.end(), installed)) + " of " +
           std::to_string(set.size());
  };
  return "writing back: installed on " + count(source_.outcome.replicas) + " replicas, " +
         count(source_.outcome.previous) + " previous replicas";
}

}  // namespace shedshed

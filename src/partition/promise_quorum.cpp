#include "partition/promise_quorum.h"

#include <algorithm>
#include <set>

namespace shedshed {

void PromiseQuorum::add(const NodeId& from, const std::string& storeId,
                        const PromiseAnswer& answer) {
  promises_[from] = {storeId, answer};
  std::uint64_t newest = 0;
  for (const auto& entry : promises_) {
    const PromiseAnswer& known = entry.second.answer;
    if (known.replicaSetEpoch > newest) {
      newest = known.replicaSetEpoch;
      previous_ = known.replicas;
    }
  }
}

bool PromiseQuorum::hasPromised(const MemberList::Member& member) const {
  const auto found = promises_.find(member.id);
  return found != promises_.end() && found->second.storeId == member.storeId;
}

bool PromiseQuorum::hasIntactPromise(const MemberList::Member& member) const {
  return hasPromised(member) && promises_.at(member.id).answer.intact;
}

bool PromiseQuorum::onMajorities(
    const std::function<bool(const MemberList::Member&)>& holds) const {
  const bool onPrevious = previous_.empty() || majorityOf(previous_, holds);
  return onPrevious && majorityOf(replicas_, holds);
}

bool PromiseQuorum::majoritiesPromised() const {
  return onMajorities([this](const MemberList::Member& member) { return hasPromised(member); });
}

bool PromiseQuorum::majoritiesIntact() const {
  return onMajorities(
      [this](const MemberList::Member& member) { return hasIntactPromise(member); });
}

bool PromiseQuorum::allPromised() const {
  return std::all_of(replicas_.begin(), replicas_.end(),
                     [this](const MemberList::Member& member) { return hasPromised(member); });
}

bool PromiseQuorum::allLivePromised(const StoreSet& stores) const {
  return std::all_of(replicas_.begin(), replicas_.end(), [&](const MemberList::Member& member) {
    return hasPromised(member) || !stores.isLive(member);
  });
}

std::vector<NodeId> PromiseQuorum::missing() const {
  std::set<NodeId> nodes;
  for (const StoreMembers* set : {&replicas_, &previous_}) {
    for (const MemberList::Member& member : *set) {
      if (!hasPromised(member)) {
        nodes.insert(member.id);
      }
    }
  }
  return {nodes.begin(), nodes.end()};
}

std::string PromiseQuorum::progress() const {
  const auto count = [](const StoreMembers& set, const auto& holds) {
    return std::to_string(std::count_if(set.begin(), set.end(), holds)) + " of " +
           std::to_string(set.size());
  };
  const auto isPromised = [this](const MemberList::Member& member) { return hasPromised(member); };
  const auto isIntact = [this](const MemberList::Member& member) {
    return hasIntactPromise(member);
  };
  return count(replicas_, isPromised) + " replicas promised, " + count(replicas_, isIntact) +
         " intact, " + count(previous_, isPromised) + " previous replicas promised";
}

}  // namespace shedshed

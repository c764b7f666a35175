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
    if (known.setEpoch > newest) {
      newest = known.setEpoch;
      previous_ = known.replicas;
    }
  }
}

bool PromiseQuorum::promised(const MemberList::Member& member) const {
  const auto found = promises_.find(member.id);
  return found != promises_.end() && found->second.storeId == member.storeId;
}

bool PromiseQuorum::intact(const MemberList::Member& member) const {
  return promised(member) && promises_.at(member.id).answer.intact;
}

bool PromiseQuorum::onMajorities(
    const std::function<bool(const MemberList::Member&)>& holds) const {
  const bool onPrevious = previous_.empty() || majorityOf(previous_, holds);
  return onPrevious && majorityOf(replicas_, holds);
}

bool PromiseQuorum::majoritiesPromised() const {
  return onMajorities([this](const MemberList::Member& member) { return promised(member); });
}

bool PromiseQuorum::majoritiesIntact() const {
  return onMajorities([this](const MemberList::Member& member) { return intact(member); });
}

bool PromiseQuorum::allPromised() const {
  return std::all_of(replicas_.begin(), replicas_.end(),
                     [this](const MemberList::Member& member) { return promised(member); });
}

bool PromiseQuorum::allLivePromised(const StoreSet& stores) const {
  return std::all_of(replicas_.begin(), replicas_.end(), [&](const MemberList::Member& member) {
    return promised(member) || !stores.isLive(member);
  });
}

std::vector<NodeId> PromiseQuorum::missing() const {
  std::set<NodeId> nodes;
  for (const StoreMembers* set : {&replicas_, &previous_}) {
    for (const MemberList::Member& member : *set) {
      if (!promised(member)) {
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
  const auto isPromised = [this](const MemberList::Member& member) { return promised(member); };
  const auto isIntact = [this](const MemberList::Member& member) { return intact(member); };
  return count(replicas_, isPromised) + " replicas promised, " + count(replicas_, isIntact) +
         " intact, " + count(previous_, isPromised) + " earlier ones";
}

}  // namespace shedshed

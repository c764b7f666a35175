#include "partition/store_set.h"

#include "kernel/message.h"

#include <algorithm>
#include <set>

namespace shedshed {

StoreSet::StoreSet(const Directory& directory, ConfigurationSource& configuration,
                   const NodeId& self, const std::string& storeId)
    : directory_(directory), self_(self), storeId_(storeId) {
  configuration.subscribe(kMembersRegister, [this](const RegisterValue& value) {
    Result<MemberList> list = decodeRecord<MemberList>(value.value);
    if (!list || value.version < version_) {
      return;
    }
    version_ = value.version;
    list_ = std::move(list).value();
  });
}

bool StoreSet::isMember(const NodeId& node, const std::string& storeId) const {
  const StoreMembers& all = members();
  return std::any_of(all.begin(), all.end(), [&](const MemberList::Member& member) {
    return member.id == node && member.storeId == storeId;
  });
}

bool StoreSet::isListed(const NodeId& node) const {
  const StoreMembers& all = members();
  return std::any_of(all.begin(), all.end(),
                     [&](const MemberList::Member& member) { return member.id == node; });
}

bool StoreSet::selfReplicates(const PartitionId& partition) const {
  return !isListed(self_) || isReplicaOf(partition, list_, self_);
}

bool StoreSet::isLive(const MemberList::Member& member) const {
  if (member.id == self_) {
    return member.storeId == storeId_;
  }
  const std::shared_ptr<const NodeTable> table = directory_.table();
  const NodeInfo* info = table->find(member.id);
  if (info == nullptr) {
    return true;
  }
  const bool sameDisk = info->storeId.empty() || info->storeId == member.storeId;
  return info->state != NodeState::Dead && sameDisk;
}

bool StoreSet::allLiveAndNotDraining(const StoreMembers& members) const {
  return std::all_of(members.begin(), members.end(), [this](const MemberList::Member& member) {
    return isLive(member) && !isDraining(member.id);
  });
}

bool StoreSet::isDraining(const NodeId& node) const {
  const std::shared_ptr<const NodeTable> table = directory_.table();
  const NodeInfo* info = table->find(node);
  return info != nullptr && info->state == NodeState::Draining;
}

std::vector<NodeId> StoreSet::liveOrder(const PartitionId& partition) const {
  std::vector<NodeId> live;
  for (const MemberList::Member& member : replicas(partition)) {
    if (isLive(member)) {
      live.push_back(member.id);
    }
  }
  std::vector<NodeId> order = ownerOrder(partition, std::move(live));
  std::stable_partition(order.begin(), order.end(),
                        [this](const NodeId& node) { return !isDraining(node); });
  return order;
}

std::vector<NodeId> StoreSet::peers(const PartitionId& partition) const {
  std::set<NodeId> peers;
  for (const MemberList::Member& member : replicas(partition)) {
    peers.insert(member.id);
  }
  const std::shared_ptr<const NodeTable> table = directory_.table();
  for (const NodeInfo& node : table->nodes) {
    if (node.role == NodeRole::Store && node.state != NodeState::Dead && !isListed(node.id)) {
      peers.insert(node.id);
    }
  }
  peers.erase(self_);
  return {peers.begin(), peers.end()};
}

bool StoreSet::isReachable(const NodeId& node) const {
  const std::shared_ptr<const NodeTable> table = directory_.table();
  const NodeInfo* info = table->find(node);
  return info == nullptr || info->state != NodeState::Dead;
}

bool majorityOf(const StoreMembers& set,
                const std::function<bool(const MemberList::Member&)>& holds) {
  const auto count = std::count_if(set.begin(), set.end(), holds);
  return static_cast<std::size_t>(count) > set.size() / 2;
}

}  // namespace shedshed

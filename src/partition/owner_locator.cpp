#include "partition/owner_locator.h"

#include "kernel/message.h"
#include "kernel/rendezvous.h"
#include "partition/placement.h"

#include <algorithm>
#include <string>

namespace shedshed {

PartitionId partitionOf(TableKind kind, std::string_view key) {
  return PartitionId{kind, static_cast<std::uint32_t>(hash64(key) % kPartitionCount)};
}

std::vector<NodeId> ownerOrder(const PartitionId& partition, std::vector<NodeId> stores) {
  const std::string key = "partition/" + std::to_string(static_cast<int>(partition.kind)) + "/" +
                          std::to_string(partition.index);
  return rendezvousOrder(key, std::move(stores));
}

OwnerLocator::OwnerLocator(const Directory& directory, ConfigurationSource& configuration)
    : directory_(directory) {
  configuration.subscribe(kMembersRegister, [this](const RegisterValue& value) {
    Result<MemberList> members = decodeRecord<MemberList>(value.value);
    if (!members) {
      return;
    }
    members_ = std::move(members).value();
    redirects_.clear();
  });
}

NodeId OwnerLocator::candidate(const PartitionId& partition, std::uint32_t attempt) const {
  const auto redirect = redirects_.find(partition);
  if (attempt == 0 && redirect != redirects_.end() &&
      stateOf(redirect->second) != NodeState::Dead) {
    return redirect->second;
  }
  std::vector<NodeId> order = ownerOrder(partition, liveReplicas(partition));
  std::stable_partition(order.begin(), order.end(), [this](const NodeId& store) {
    return stateOf(store) != NodeState::Draining;
  });
  if (order.empty()) {
    return {};
  }
  return order[attempt % order.size()];
}

void OwnerLocator::redirected(const PartitionId& partition, const NodeId& owner) {
  redirects_[partition] = owner;
}

void OwnerLocator::failed(const PartitionId& partition, const NodeId& node) {
  const auto redirect = redirects_.find(partition);
  if (redirect != redirects_.end() && redirect->second == node) {
    redirects_.erase(redirect);
  }
}

NodeState OwnerLocator::stateOf(const NodeId& store) const {
  const std::shared_ptr<const NodeTable> table = directory_.table();
  const NodeInfo* info = table->find(store);
  return info == nullptr ? NodeState::Alive : info->state;
}

std::vector<NodeId> OwnerLocator::liveReplicas(const PartitionId& partition) const {
  std::vector<NodeId> all;
  std::vector<NodeId> live;
  for (const MemberList::Member& member : replicasOf(partition, members_)) {
    all.push_back(member.id);
    if (stateOf(member.id) != NodeState::Dead) {
      live.push_back(member.id);
    }
  }
  return live.empty() ? all : live;
}

}  // namespace shedshed

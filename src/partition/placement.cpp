#include "partition/placement.h"

#include <algorithm>

namespace shedshed {

StoreMembers replicasOf(const PartitionId& partition, const MemberList& members) {
  const std::size_t slots = members.stores.size();
  if (members.replicas == 0 || members.replicas >= slots) {
    return members.stores;
  }
  StoreMembers replicas;
  for (std::size_t offset = 0; offset < members.replicas; ++offset) {
    replicas.push_back(members.stores[(partition.index + offset) % slots]);
  }
  return replicas;
}

bool isReplicaOf(const PartitionId& partition, const MemberList& members, const NodeId& node) {
  const StoreMembers replicas = replicasOf(partition, members);
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](const MemberList::Member& member) { return member.id == node; });
}

}  // namespace shedshed

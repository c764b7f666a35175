#include "partition/placement.h"

#include <algorithm>

namespace shedshed {

StoreMembers replicasOf(const PartitionId& partition, const MemberList& members) {
  const std::size_t places = members.stores.size();
  if (members.replicas == 0 || members.replicas >= places) {
    return members.stores;
  }
  StoreMembers replicas;
  for (std::size_t step = 0; step < members.replicas; ++step) {
    replicas.push_back(members.stores[(partition.index + step) % places]);
  }
  return replicas;
}

bool isPlacedAt(const PartitionId& partition, const MemberList& members, const NodeId& node) {
  const StoreMembers replicas = replicasOf(partition, members);
  return std::any_of(replicas.begin(), replicas.end(),
                     [&](const MemberList::Member& member) { return member.id == node; });
}

}  // namespace shedshed

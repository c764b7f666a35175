/// @file
/// The stores that hold the partitions, as known to this node.
#pragma once

#include "membership/directory.h"
#include "partition/partition_types.h"
#include "partition/placement.h"

#include <functional>
#include <vector>

namespace shedshed {

/// Combines the members register with the directory. A member is a node together with its disk: a
/// node that returns with another disk is not that member. Core thread only.
class StoreSet {
 public:
  /// Keeps a reference to @p directory.
  StoreSet(const Directory& directory, ConfigurationSource& configuration, const NodeId& self,
           const std::string& storeId);

  /// The stores of the members register in force, by slot.
  const StoreMembers& members() const { return list_.stores; }

  /// The members that hold @p partition.
  StoreMembers replicas(const PartitionId& partition) const { return replicasOf(partition, list_); }

  /// True if this node is to replicate @p partition: as one of its replicas, or as a standby store,
  /// which replicates all partitions.
  bool selfReplicates(const PartitionId& partition) const;

  /// True if @p node with the disk @p storeId is a member.
  bool isMember(const NodeId& node, const std::string& storeId) const;

  /// True if this node with its disk is a member.
  bool selfIsMember() const { return isMember(self_, storeId_); }

  /// False if the directory reports the member as dead or with another disk.
  bool isLive(const MemberList::Member& member) const;

  /// True if all of @p members are live and none is draining.
  bool allLiveAndNotDraining(const StoreMembers& members) const;

  /// True if the directory reports @p node as draining: other stores take its partitions over.
  bool isDraining(const NodeId& node) const;

  /// The live replicas in the owner order of @p partition. Draining ones come last: they own it
  /// only if no other replica is live.
  std::vector<NodeId> liveOrder(const PartitionId& partition) const;

  /// All other nodes that the owner of @p partition replicates to: its replicas, and live standby
  /// stores, which are not in the member list. Standby stores count for no majority.
  std::vector<NodeId> peers(const PartitionId& partition) const;

  /// False if the directory reports @p node as dead.
  bool isReachable(const NodeId& node) const;

 private:
  bool isListed(const NodeId& node) const;

  const Directory& directory_;
  NodeId self_;
  std::string storeId_;
  MemberList list_;
  std::uint64_t version_ = 0;
};

/// True if @p holds is true for a majority of @p set. An empty set has no majority.
bool majorityOf(const StoreMembers& set,
                const std::function<bool(const MemberList::Member&)>& holds);

}  // namespace shedshed

/// @file
/// Which stores hold the partitions, as this node sees it.
#pragma once

#include "membership/directory.h"
#include "partition/partition_types.h"
#include "partition/placement.h"

#include <functional>
#include <vector>

namespace shedshed {

/// Joins the members register with the directory. A member is a node with one certain disk: a
/// machine that came back with another disk is not that member. Core thread only.
class StoreSet {
 public:
  /// Keeps a reference to @p directory.
  StoreSet(const Directory& directory, ConfigurationSource& configuration, const NodeId& self,
           const std::string& storeId);

  /// The stores of the members register in force, by slot.
  const StoreMembers& members() const { return list_.stores; }

  /// The members that hold @p partition.
  StoreMembers replicas(const PartitionId& partition) const { return replicasOf(partition, list_); }

  /// True if this node is to replicate @p partition: as one of its replicas, or as a standby, which
  /// replicates all.
  bool selfReplicates(const PartitionId& partition) const;

  /// True if @p node with the disk @p storeId is a member.
  bool isMember(const NodeId& node, const std::string& storeId) const;

  /// True if this node with its disk is a member.
  bool selfIsMember() const { return isMember(self_, storeId_); }

  /// False if the directory says that the member is dead or has another disk.
  bool isLive(const MemberList::Member& member) const;

  /// True if all of @p members are live and none drains.
  bool allLiveAndNotDraining(const StoreMembers& members) const;

  /// True if the directory says that @p node drains: it transfers its partitions to other stores.
  bool isDraining(const NodeId& node) const;

  /// The live replicas in the order in which they own @p partition. Those that drain come last:
  /// they own only what no other live store can.
  std::vector<NodeId> liveOrder(const PartitionId& partition) const;

  /// All other nodes that the owner of @p partition replicates to: its replicas, and live standby
  /// stores, which are not in the member list. The latter count for no majority.
  std::vector<NodeId> peers(const PartitionId& partition) const;

  /// False if the directory says that @p node is dead.
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

/// @file
/// Assignment of partitions to stores.
#pragma once

#include "partition/partition_store.h"
#include "partition/partition_types.h"
#include "register/configuration_register.h"

namespace shedshed {

/// Returns the members that hold @p partition: those in `MemberList::replicas` adjacent slots of
/// the list, taken as a ring, or all members if the list names no number or has no more slots.
///
/// The slots of the list are fixed for the life of a fleet and a store is replaced in its slot, so
/// a replacement changes one member in the replica sets of the partitions of that slot and nothing
/// in any other. A joining store must be caught up with those partitions before it is listed, so
/// every replica set has only members that know an earlier set; `PromiseQuorum` finds the newest
/// one from them.
StoreMembers replicasOf(const PartitionId& partition, const MemberList& members);

/// True if @p node, with any disk, is a replica of @p partition.
bool isReplicaOf(const PartitionId& partition, const MemberList& members, const NodeId& node);

}  // namespace shedshed

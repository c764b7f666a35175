/// @file
/// Which stores hold which partition.
#pragma once

#include "partition/partition_store.h"
#include "partition/partition_types.h"
#include "register/configuration_register.h"

namespace shedshed {

/// Returns the members that hold @p partition: `MemberList::replicas` neighbours in the ring of the
/// list's places, or all members if the list names no number or has no more places.
///
/// A place in the list is kept for the life of a fleet and its holder is replaced in it, so a
/// replacement changes one member in the sets of the partitions of that place and nothing in any
/// other. A newcomer must hold those partitions before it is listed, so every set of replicas has
/// only members that know an earlier set; `PartitionTakeover` finds the newest one from them.
StoreMembers replicasOf(const PartitionId& partition, const MemberList& members);

/// True if @p node is at a place that holds @p partition, with whatever disk.
bool isPlacedAt(const PartitionId& partition, const MemberList& members, const NodeId& node);

}  // namespace shedshed

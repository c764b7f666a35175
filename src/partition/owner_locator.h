/// @file
/// Finds the owner of a partition from any node; shared by the clients of slots and batches.
#pragma once

#include "membership/directory.h"
#include "partition/partition_store.h"
#include "register/configuration_register.h"

#include <map>

namespace shedshed {

/// Predicts a partition's owner: the last redirect if there was one, else the first live store in
/// the owner order, draining stores last. A wrong prediction costs one redirect; safety is not
/// affected, since owners are fenced by epochs. Core thread only.
class OwnerLocator {
 public:
  /// Keeps a reference to @p directory and subscribes to @p configuration; both must outlive it.
  OwnerLocator(const Directory& directory, ConfigurationSource& configuration);

  /// Returns the node for attempt number @p attempt, from 0; empty if no store is known.
  NodeId candidate(const PartitionId& partition, std::uint32_t attempt) const;

  /// Records that a node answered `NotOwner` and named @p owner.
  void redirected(const PartitionId& partition, const NodeId& owner);

  /// Records that @p node did not answer or named no owner; drops a redirect to it.
  void failed(const PartitionId& partition, const NodeId& node);

 private:
  NodeState stateOf(const NodeId& store) const;
  std::vector<NodeId> liveReplicas(const PartitionId& partition) const;

  const Directory& directory_;
  MemberList members_;
  std::map<PartitionId, NodeId> redirects_;
};

}  // namespace shedshed

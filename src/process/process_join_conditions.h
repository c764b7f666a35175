/// @file
/// The join conditions of a state process, answered from its partitions and its retirements.
#pragma once

#include "partition/partition_core.h"
#include "register/join_conditions.h"
#include "register/retirements.h"
#include "register/successor_core.h"

namespace shedshed {

/// State of the replicas of this process's partitions. Keeps a reference; it must outlive it.
class PartitionReplicaStatus : public ReplicaStatus {
 public:
  explicit PartitionReplicaStatus(const PartitionCore& partitions) : partitions_(partitions) {}

  bool isCaughtUp() const override;
  bool isReplacementComplete() const override;

 private:
  const PartitionCore& partitions_;
};

/// Join conditions of a register node or of a store. Keeps references; they must outlive it.
class ProcessJoinConditions : public JoinConditions {
 public:
  /// @p replicas and @p successor are null on register nodes: those keep no replicas, so nothing
  /// has to be copied before they join, and they succeed no other member.
  ProcessJoinConditions(const ReplicaStatus* replicas, const SuccessorCore* successor,
                        const Retirements& retirements)
      : replicas_(replicas), successor_(successor), retirements_(retirements) {}

  bool isCaughtUp() const override;
  std::vector<NodeId> replaceableMembers() const override;
  std::vector<NodeId> retiringNodes() const override;

 private:
  const ReplicaStatus* const replicas_;
  const SuccessorCore* const successor_;
  const Retirements& retirements_;
};

}  // namespace shedshed

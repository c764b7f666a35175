#include "process/process_join_conditions.h"

namespace shedshed {

bool PartitionReplicaStatus::isCaughtUp() const {
  return partitions_.repairProgress().complete();
}

bool PartitionReplicaStatus::isReplacementComplete() const {
  return partitions_.repairProgress().replacementComplete();
}

bool ProcessJoinConditions::isCaughtUp() const {
  return replicas_ == nullptr || replicas_->isCaughtUp();
}

std::vector<NodeId> ProcessJoinConditions::replaceableMembers() const {
  return successor_ == nullptr ? std::vector<NodeId>{} : successor_->replaceableMembers();
}

std::vector<NodeId> ProcessJoinConditions::retiringNodes() const {
  return retirements_.nodes();
}

}  // namespace shedshed

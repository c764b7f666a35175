/// @file
/// What the join and the succession of a machine depend on beside the register service: the state
/// of its replicas and the retirements of other machines.
#pragma once

#include "kernel/node_id.h"

#include <vector>

namespace shedshed {

/// State of the replicas that a store keeps. Core thread only.
class ReplicaStatus {
 public:
  virtual ~ReplicaStatus() = default;

  /// True if every replica that this machine is to keep holds all committed data, so that the
  /// machine may count towards majorities.
  virtual bool isCaughtUp() const = 0;

  /// True once all partition owners count this machine in place of the member that it replaced.
  virtual bool isReplacementComplete() const = 0;
};

/// What `MembershipJoinCore` asks of its node. Core thread only.
class JoinConditions {
 public:
  virtual ~JoinConditions() = default;

  /// True if this machine may be counted as a member: a store only once it is caught up.
  virtual bool isCaughtUp() const = 0;

  /// Members that this machine is to replace because they retire and it is their successor.
  virtual std::vector<NodeId> replaceableMembers() const = 0;

  /// All machines that retire or have retired; none of them joins again.
  virtual std::vector<NodeId> retiringNodes() const = 0;
};

}  // namespace shedshed

/// @file
/// Conditions outside the register service for the join and the succession of a machine: the state
/// of its replicas and the retirements of other machines.
#pragma once

#include "kernel/node_id.h"

#include <vector>

namespace shedshed {

/// State of the replicas on a store. Core thread only.
class ReplicaStatus {
 public:
  virtual ~ReplicaStatus() = default;

  /// True if every replica that this machine is to keep holds all committed data, so that the
  /// machine may count towards majorities.
  virtual bool isCaughtUp() const = 0;

  /// True once all partition owners count this machine in place of the member that it replaced.
  virtual bool isReplacementComplete() const = 0;
};

/// Conditions that `MembershipJoinCore` queries from its node. Core thread only.
class JoinConditions {
 public:
  virtual ~JoinConditions() = default;

  /// True if this machine may be counted as a member: a store only once it is caught up.
  virtual bool isCaughtUp() const = 0;

  /// Retiring members that this machine is to replace as their successor.
  virtual std::vector<NodeId> replaceableMembers() const = 0;

  /// All machines that are retiring or retired; none of them joins again.
  virtual std::vector<NodeId> retiringNodes() const = 0;
};

}  // namespace shedshed

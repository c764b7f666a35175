/// @file
/// Replaces a retiring store.
#pragma once

#include "kernel/core.h"
#include "register/join_conditions.h"
#include "register/register_core.h"
#include "register/retirements.h"

#include <vector>

namespace shedshed {

/// Core of `ServiceId::Succession`. Runs on every store. The first standby that is caught up offers
/// itself as the successor of a retiring store; once it has replaced that member and counts towards
/// all majorities, it marks the retirement as completed: another loss then loses no data.
class SuccessorCore : public Core {
 public:
  /// Keeps references; they must outlive the core.
  SuccessorCore(CoreContext& context, const RegisterCore& registers, const Directory& directory,
                Retirements& retirements, const ReplicaStatus& replicas);

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// The retiring members that this node is to replace.
  std::vector<NodeId> replaceableMembers() const;

 private:
  bool isMember(const NodeId& id) const;
  bool isFirstStandby() const;
  void advance(const Retirement& entry);

  CoreContext& context_;
  const RegisterCore& registers_;
  const Directory& directory_;
  Retirements& retirements_;
  const ReplicaStatus& replicas_;
};

}  // namespace shedshed

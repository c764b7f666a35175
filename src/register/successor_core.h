/// @file
/// The machine that takes the place of a retiring store.
#pragma once

#include "kernel/core.h"
#include "register/register_core.h"
#include "register/retirements.h"

#include <functional>

namespace shedshed {

/// Runs on every store. The first store that is no member, and holds all data, offers itself as the
/// successor of a retiring one; once it is a member in its place and counts for all majorities, it
/// marks the retirement as completed: the next loss then loses nothing.
class SuccessorCore : public Core {
 public:
  /// @p holdsAllData: this store may be counted. @p isSettled: all owners count it. References must
  /// outlive the core.
  SuccessorCore(CoreContext& context, const RegisterCore& registers, const Directory& directory,
                Retirements& retirements, std::function<bool()> holdsAllData,
                std::function<bool()> isSettled);

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// The members whose places this node is to take.
  std::vector<NodeId> placesToTake() const;

 private:
  bool isMember(const NodeId& id) const;
  bool isFirstSpare() const;
  void follow(const Retirement& entry);

  CoreContext& context_;
  const RegisterCore& registers_;
  const Directory& directory_;
  Retirements& retirements_;
  std::function<bool()> holdsAllData_;
  std::function<bool()> isSettled_;
};

}  // namespace shedshed

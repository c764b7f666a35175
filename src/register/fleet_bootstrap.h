/// @file
/// Forms a fleet by itself when all of it starts for the first time.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "register/register_core.h"

#include <vector>

namespace shedshed {

/// Times of `FleetBootstrapCore`.
struct FleetBootstrapOptions {
  Duration check = std::chrono::milliseconds(200);    ///< Interval of the looks at the directory.
  Duration settle = std::chrono::milliseconds(1200);  ///< The set of stores was the same for this.
  /// A node that isn't the first of the acceptors forms the fleet only after this time.
  Duration patience = std::chrono::seconds(6);
};

/// Forms the fleet of the given acceptors and of all stores that the directory shows, once, and
/// only if the platform said that this is the first start of the whole fleet.
///
/// Safety: `FleetFormation` writes nothing unless every machine of the list is empty or holds the
/// same list. A machine that lost its disk is not told that this is the first start, and its new
/// store id makes another list, so no second history can begin.
class FleetBootstrapCore : public Core {
 public:
  /// Keeps references; they must outlive it. @p acceptors are the same on all nodes.
  FleetBootstrapCore(CoreContext& context, RegisterCore& registers, const Directory& directory,
                     std::vector<NodeId> acceptors, FleetBootstrapOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

 private:
  bool isFormed() const { return registers_.knownMembers().version != 0; }
  bool mayForm();
  void form();

  CoreContext& context_;
  RegisterCore& registers_;
  const Directory& directory_;
  std::vector<NodeId> acceptors_;
  const FleetBootstrapOptions options_;
  Time startedAt_{};
  Time settledSince_{};
  std::vector<NodeId> stores_;
  bool forming_ = false;
};

}  // namespace shedshed

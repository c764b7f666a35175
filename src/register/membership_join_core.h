/// @file
/// Makes a machine with a new disk a member without operator action.
#pragma once

#include "kernel/core.h"
#include "membership/directory.h"
#include "register/join_conditions.h"
#include "register/member_absences.h"
#include "register/reachability_quorum.h"
#include "register/register_core.h"

#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// Options of `MembershipJoinCore`.
struct MembershipJoinOptions {
  /// Interval of the checks of the directory.
  Duration checkInterval = std::chrono::milliseconds(250);
  AbsenceTimeouts timeouts;
  /// With fewer acceptors, the tolerated losses can lose acknowledged data.
  std::size_t acceptorsNeeded = 0;
};

/// Core of `ServiceId::MembershipJoin`. Runs on every machine with a disk, as an acceptor or as a
/// store. A machine that is not a member with its current disk requests to replace
/// - itself, if a member is listed at its address with another disk: that disk is gone;
/// - a retiring member whose successor it is;
/// - a member that is dead and that was never live since this process started: this machine was
///   started to replace it. A member that becomes unreachable later is never replaced by a standby:
///   the cause may be a network partition;
/// - a member that announced its shutdown and has been dead since: it was shut down permanently. Of
///   several standbys, the first in the order of ids replaces it.
/// It requests to be added as one more acceptor if the fleet was formed with fewer than it needs.
///
/// This machine's directory may be incomplete. Therefore, before it replaces a member that it
/// presumes lost or departed, a majority of the acceptors must find that member unreachable, and no
/// node may see it alive (`ReachabilityQuorum`).
///
/// Safety does not rest on these observations: a change of the members needs majorities of the old
/// and of the new list, and a store joins only once it is caught up. Nothing here is durable; after
/// a crash the observations start again.
class MembershipJoinCore : public Core {
 public:
  enum class Kind { Acceptor, Store };

  /// @p storeId is the id of this machine's disk. Keeps references; they must outlive the core.
  MembershipJoinCore(CoreContext& context, RegisterCore& registers, const Directory& directory,
                     Kind kind, std::string storeId, const JoinConditions& conditions,
                     MembershipJoinOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

 private:
  /// A member that this machine should replace.
  struct Replacement {
    NodeId member;
    bool needsQuorum = false;  ///< Requires a quorum that finds the member unreachable.
  };

  const std::vector<MemberList::Member>& members() const;
  MemberList::Member self() const { return {context_.self(), storeId_}; }
  bool isRetiring(const NodeId& id) const;
  /// True if this machine is the first live standby of its kind in the order of ids.
  bool isFirstStandby(const NodeTable& nodes) const;
  std::optional<Replacement> memberToReplace(const NodeTable& nodes) const;
  /// True once a majority of the acceptors finds @p id unreachable; sends them a request otherwise.
  bool isConfirmedUnreachable(const NodeId& id);
  /// True if this machine is @p member, or sees it alive in its directory.
  bool seesAlive(const MemberList::Member& member) const;
  void replyToReachability(const NodeId& from, const ReachabilityRequest& request);
  void check();
  void requestReplacement(const NodeId& member);
  /// True if this machine is to be one more acceptor.
  bool isAcceptorNeeded(const NodeTable& nodes) const;
  void requestAddition();
  void onJoinFinished(const Result<MemberList>& list);

  CoreContext& context_;
  RegisterCore& registers_;
  const Directory& directory_;
  const Kind kind_;
  const std::string storeId_;
  const JoinConditions& conditions_;
  const MembershipJoinOptions options_;
  MemberAbsences absences_;
  ReachabilityQuorum reachability_;
  bool requestInFlight_ = false;
};

}  // namespace shedshed

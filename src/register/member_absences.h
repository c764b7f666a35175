/// @file
/// Tracks how long each member has been dead or unseen in this machine's directory.
#pragma once

#include "membership/directory.h"
#include "register/configuration_register.h"

#include <map>
#include <vector>

namespace shedshed {

/// Time-outs after which a member may be replaced.
struct AbsenceTimeouts {
  /// A member must have been confirmed dead for this long before another machine replaces it.
  Duration deadTimeout = std::chrono::milliseconds(1200);
  /// The same for a member that has never been in the directory since this process started.
  Duration unseenTimeout = std::chrono::milliseconds(3000);
  /// The same for a member that had announced its shutdown; longer than a restart takes.
  Duration departedTimeout = std::chrono::milliseconds(1700);
};

/// Tracks the members in the directory. An absence is a local observation only: the member may be
/// alive behind a network partition, so the caller must have it confirmed by a quorum. Core thread
/// only.
class MemberAbsences {
 public:
  explicit MemberAbsences(const AbsenceTimeouts& timeouts) : timeouts_(timeouts) {}

  /// Compares @p members with the directory's @p nodes at @p now. Must be called at each check.
  void observe(const std::vector<MemberList::Member>& members, const NodeTable& nodes, Time now);

  /// True if @p member was never live since this process started and its time-out has passed: this
  /// machine was started to replace it.
  bool isPresumedLost(const NodeId& member, Time now) const;

  /// True if @p member announced its shutdown, is dead and did not restart in time.
  bool hasDeparted(const NodeId& member, Time now) const;

  /// Restarts the time-outs of @p member at @p now, because another node sees it alive.
  void restartTimeout(const NodeId& member, Time now);

 private:
  struct Absence {
    bool wasLive = false;
    bool isDead = false;
    bool announcedShutdown = false;  ///< In its present incarnation, or in the one that ended.
    Time unreachableSince{};         ///< Last change of `isDead`, or the first observation.
  };

  const AbsenceTimeouts timeouts_;
  std::map<NodeId, Absence> absences_;
};

}  // namespace shedshed

#include "register/member_absences.h"

namespace shedshed {

void MemberAbsences::observe(const std::vector<MemberList::Member>& members, const NodeTable& nodes,
                             Time now) {
  for (const MemberList::Member& member : members) {
    const auto [found, isNew] = absences_.try_emplace(member.id);
    Absence& absence = found->second;
    if (isNew) {
      absence.unreachableSince = now;
    }
    const NodeInfo* node = nodes.find(member.id);
    const bool dead = node != nullptr && node->state == NodeState::Dead;
    if (dead != absence.isDead) {
      absence.isDead = dead;
      absence.unreachableSince = now;
    }
    absence.wasLive = absence.wasLive || (node != nullptr && !dead);
    if (node != nullptr && !dead) {
      absence.announcedShutdown = node->state == NodeState::Draining;
    }
  }
}

bool MemberAbsences::isPresumedLost(const NodeId& member, Time now) const {
  const auto found = absences_.find(member);
  if (found == absences_.end() || found->second.wasLive) {
    return false;
  }
  const Duration timeout = found->second.isDead ? timeouts_.deadTimeout : timeouts_.unseenTimeout;
  return now - found->second.unreachableSince >= timeout;
}

bool MemberAbsences::hasDeparted(const NodeId& member, Time now) const {
  const auto found = absences_.find(member);
  return found != absences_.end() && found->second.isDead && found->second.announcedShutdown &&
         now - found->second.unreachableSince >= timeouts_.departedTimeout;
}

void MemberAbsences::restartTimeout(const NodeId& member, Time now) {
  absences_[member].unreachableSince = now;
}

}  // namespace shedshed

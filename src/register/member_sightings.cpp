#include "register/member_sightings.h"

#include "register/proposal.h"

namespace shedshed {

void MemberSightings::ask(const MemberList::Member& member,
                          const std::vector<MemberList::Member>& acceptors) {
  const bool isOther = member.id != member_.id || member.storeId != member_.storeId;
  if (isOther || context_.now() - askedAt_ > kSightingAge) {
    member_ = member;
    askedAt_ = context_.now();
    requestId_ = context_.random()();
    acceptors_.clear();
    missedBy_.clear();
    seenLive_ = false;
  }
  for (const MemberList::Member& acceptor : acceptors) {
    acceptors_.insert(acceptor.id);
  }
  std::set<NodeId> asked = acceptors_;
  asked.insert(member.id);
  for (const NodeId& node : asked) {
    if (missedBy_.count(node) == 0) {
      context_.send(node, SightingRequest{requestId_, member.id, member.storeId});
    }
  }
}

void MemberSightings::answered(const NodeId& from, const SightingAnswer& answer) {
  if (member_.id.empty() || answer.requestId != requestId_) {
    return;
  }
  seenLive_ = seenLive_ || answer.live;
  if (!answer.live && acceptors_.count(from) != 0) {
    missedBy_.insert(from);
  }
}

MemberSightings::Verdict MemberSightings::verdict(const MemberList::Member& member) const {
  if (member.id != member_.id || member.storeId != member_.storeId) {
    return Verdict::Open;
  }
  if (seenLive_) {
    return Verdict::Live;
  }
  return missedBy_.size() >= majorityOf(acceptors_.size()) ? Verdict::Missed : Verdict::Open;
}

}  // namespace shedshed

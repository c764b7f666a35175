#include "register/reachability_quorum.h"

#include "register/quorum.h"

namespace shedshed {

bool ReachabilityQuorum::isAbout(const MemberList::Member& member) const {
  return member_ && member.id == member_->id && member.storeId == member_->storeId;
}

void ReachabilityQuorum::request(const MemberList::Member& member,
                                 const std::vector<MemberList::Member>& acceptors) {
  if (!isAbout(member) || context_.now() - requestedAt_ > kReachabilityReplyLifetime) {
    member_ = member;
    requestedAt_ = context_.now();
    requestId_ = context_.random()();
    acceptors_.clear();
    unreachableFrom_.clear();
    seenAlive_ = false;
  }
  for (const MemberList::Member& acceptor : acceptors) {
    acceptors_.insert(acceptor.id);
  }
  std::set<NodeId> receivers = acceptors_;
  receivers.insert(member.id);
  for (const NodeId& node : receivers) {
    if (unreachableFrom_.count(node) == 0) {
      context_.send(node, ReachabilityRequest{requestId_, member.id, member.storeId});
    }
  }
}

void ReachabilityQuorum::onReply(const NodeId& from, const ReachabilityReply& reply) {
  if (!member_ || reply.requestId != requestId_) {
    return;
  }
  seenAlive_ = seenAlive_ || reply.alive;
  if (!reply.alive && acceptors_.count(from) != 0) {
    unreachableFrom_.insert(from);
  }
}

ReachabilityQuorum::Verdict ReachabilityQuorum::verdict(const MemberList::Member& member) const {
  if (!isAbout(member)) {
    return Verdict::Undecided;
  }
  if (seenAlive_) {
    return Verdict::Alive;
  }
  return unreachableFrom_.size() >= majorityOf(acceptors_.size()) ? Verdict::Unreachable
                                                                  : Verdict::Undecided;
}

}  // namespace shedshed

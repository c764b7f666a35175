#include "register/membership_join_core.h"

#include "register/member_lists.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;

}  // namespace

MembershipJoinCore::MembershipJoinCore(CoreContext& context, RegisterCore& registers,
                                       const Directory& directory, Kind kind, std::string storeId,
                                       const JoinConditions& conditions,
                                       MembershipJoinOptions options)
    : context_(context), registers_(registers), directory_(directory), kind_(kind),
      storeId_(std::move(storeId)), conditions_(conditions), options_(options),
      absences_(options.timeouts), reachability_(context) {}

void MembershipJoinCore::start() {
  context_.startTimer(kCheckTimer, options_.checkInterval);
}

void MembershipJoinCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<ReachabilityRequest>(
      message, [&](const ReachabilityRequest& request) { replyToReachability(from, request); }) ||
      dispatchMessage<ReachabilityReply>(
          message, [&](const ReachabilityReply& reply) { reachability_.onReply(from, reply); });
}

void MembershipJoinCore::replyToReachability(const NodeId& from,
                                             const ReachabilityRequest& request) {
  const bool alive = seesAlive({request.member, request.storeId});
  context_.send(from, ReachabilityReply{request.requestId, alive});
}

void MembershipJoinCore::timerExpired(TimerId) {
  context_.startTimer(kCheckTimer, options_.checkInterval);
  check();
}

const std::vector<MemberList::Member>& MembershipJoinCore::members() const {
  const MemberList& list = registers_.knownMembers().list;
  return kind_ == Kind::Acceptor ? list.acceptors : list.stores;
}

bool MembershipJoinCore::isRetiring(const NodeId& id) const {
  const std::vector<NodeId> retiring = conditions_.retiringNodes();
  return std::find(retiring.begin(), retiring.end(), id) != retiring.end();
}

bool MembershipJoinCore::isFirstStandby(const NodeTable& nodes) const {
  const NodeRole role = kind_ == Kind::Acceptor ? NodeRole::Register : NodeRole::Store;
  for (const NodeId& id : nodes.live(role)) {
    const bool hasDisk = !nodes.find(id)->storeId.empty();
    if (hasDisk && !isListed(members(), id) && !isRetiring(id)) {
      return id == context_.self();
    }
  }
  return false;
}

std::optional<MembershipJoinCore::Replacement>
MembershipJoinCore::memberToReplace(const NodeTable& nodes) const {
  if (isListed(members(), context_.self())) {
    return Replacement{context_.self(), false};
  }
  for (const NodeId& member : conditions_.replaceableMembers()) {
    if (isListed(members(), member)) {
      return Replacement{member, false};
    }
  }
  const Time now = context_.now();
  const bool firstStandby = isFirstStandby(nodes);
  for (const MemberList::Member& member : members()) {
    if (absences_.isPresumedLost(member.id, now) ||
        (firstStandby && absences_.hasDeparted(member.id, now))) {
      return Replacement{member.id, true};
    }
  }
  return std::nullopt;
}

bool MembershipJoinCore::seesAlive(const MemberList::Member& member) const {
  if (member.id == context_.self()) {
    return member.storeId == storeId_;
  }
  const std::shared_ptr<const NodeTable> nodes = directory_.table();
  const NodeInfo* node = nodes->find(member.id);
  return node != nullptr && node->state != NodeState::Dead;
}

// The verdict is evaluated one check after the request, so that the member itself has time to
// reply.
bool MembershipJoinCore::isConfirmedUnreachable(const NodeId& id) {
  const MemberList::Member& member = *findMember(members(), id);
  switch (reachability_.verdict(member)) {
  case ReachabilityQuorum::Verdict::Unreachable:
    return true;
  case ReachabilityQuorum::Verdict::Alive:
    context_.counters().add("members_suspected_wrongly_total");
    absences_.restartTimeout(id, context_.now());
    reachability_.reset();
    return false;
  case ReachabilityQuorum::Verdict::Undecided:
    reachability_.request(member, registers_.knownMembers().list.acceptors);
    break;
  }
  return false;
}

void MembershipJoinCore::check() {
  const bool isMember = isListed(members(), self());
  if (registers_.knownMembers().version == 0 || isMember || requestInFlight_ ||
      isRetiring(context_.self())) {
    return;
  }
  const std::shared_ptr<const NodeTable> nodes = directory_.table();
  absences_.observe(members(), *nodes, context_.now());
  const std::optional<Replacement> replacement = memberToReplace(*nodes);
  if (!conditions_.isCaughtUp()) {
    return;
  }
  if (!replacement) {
    if (isAcceptorNeeded(*nodes)) {
      requestAddition();
    }
    return;
  }
  if (!replacement->needsQuorum || isConfirmedUnreachable(replacement->member)) {
    requestReplacement(replacement->member);
  }
}

void MembershipJoinCore::requestReplacement(const NodeId& member) {
  requestInFlight_ = true;
  context_.logEvent(TraceEvent("MemberReplacementRequested").field("member", member));
  registers_.replaceMember(member, context_.self(),
                           [this](const Result<MemberList>& list) { onJoinFinished(list); });
}

bool MembershipJoinCore::isAcceptorNeeded(const NodeTable& nodes) const {
  return kind_ == Kind::Acceptor && members().size() < options_.acceptorsNeeded &&
         isFirstStandby(nodes);
}

void MembershipJoinCore::requestAddition() {
  requestInFlight_ = true;
  context_.logEvent(TraceEvent("AcceptorAdditionRequested"));
  registers_.addAcceptor(context_.self(),
                         [this](const Result<MemberList>& list) { onJoinFinished(list); });
}

void MembershipJoinCore::onJoinFinished(const Result<MemberList>& list) {
  requestInFlight_ = false;
  reachability_.reset();
  context_.counters().add(list ? "members_joined_total" : "member_join_failures_total");
  if (list) {
    context_.logEvent(TraceEvent("MemberJoined"));
  } else {
    context_.logEvent(
        TraceEvent("MemberJoinFailed", Severity::Warning).field("error", list.error()));
  }
}

}  // namespace shedshed

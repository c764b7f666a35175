#include "register/proposal.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <random>

namespace shedshed {

namespace {

/// Pause before an acceptor that fetches log entries is asked again.
constexpr Duration kChangeLogRetry = std::chrono::milliseconds(10);

/// Hashes what an order stands for. A resend names the same base version and content.
std::uint64_t hashOfContent(const ChangeRequest& change) {
  std::string text = std::to_string(change.baseVersion);
  text.push_back('\n');
  text += change.content.empty() ? change.value : change.content;
  return hash64(text);
}

}  // namespace

Proposal::Proposal(ProposalHost& host, OperationId id, ProposalSpec spec, Done done)
    : host_(host), id_(id), spec_(std::move(spec)), done_(std::move(done)) {
  if (spec_.change) {
    keyDigest_ = digestOf(spec_.change->idempotencyKey);
    contentHash_ = hashOfContent(*spec_.change);
  }
}

void Proposal::start() {
  host_.startTimer(id_, OperationTimer::Deadline, kOperationDeadline);
  beginRound();
}

void Proposal::beginRound() {
  members_ = host_.members();
  promises_.clear();
  rejections_.clear();
  acceptedBy_.clear();
  nextVoters_.clear();
  graceExpired_ = false;
  graceTimerStarted_ = false;
  if (members_.version == 0) {
    backOff();
    return;
  }
  ballot_ = host_.nextBallot();
  phase_ = Phase::Preparing;
  host_.startTimer(id_, OperationTimer::Round, kRoundTimeout);
  sendRequests();
}

void Proposal::sendRequests() {
  host_.startTimer(id_, OperationTimer::Resend, kRoundResend);
  if (phase_ == Phase::Preparing) {
    const PrepareRequest request{spec_.registerName, ballot_, members_.version, keyDigest_};
    for (const MemberList::Member& member : members_.list.acceptors) {
      if (promises_.count(member.id) == 0) {
        host_.context().send(member.id, request);
      }
    }
    return;
  }
  std::set<NodeId> targets;
  for (const MemberList::Member& member : members_.list.acceptors) {
    targets.insert(member.id);
  }
  for (const MemberList::Member& member : nextVoters_) {
    targets.insert(member.id);
  }
  if (spec_.joiningMember) {
    targets.insert(spec_.joiningMember->id);
  }
  for (const NodeId& target : targets) {
    if (acceptedBy_.count(target) == 0) {
      sendAccept(target);
    }
  }
}

void Proposal::sendAccept(const NodeId& to) {
  AcceptRequest request;
  request.registerName = spec_.registerName;
  request.membersVersion = members_.version;
  request.state = proposed_;
  request.changeLogSource = changeLogSource_;
  host_.context().send(to, request);
}

void Proposal::backOff() {
  phase_ = Phase::BackingOff;
  host_.stopTimer(id_, OperationTimer::Round);
  host_.stopTimer(id_, OperationTimer::Resend);
  std::uniform_int_distribution<std::int64_t> pause(kMinBackoff.count(), maxBackoff_.count());
  maxBackoff_ = std::min(maxBackoff_ * 2, kMaxBackoff);
  host_.startTimer(id_, OperationTimer::Pause, Duration(pause(host_.context().random())));
}

bool Proposal::onRejection(const NodeId& from, AcceptorVerdict verdict, const Ballot& promised) {
  if (verdict == AcceptorVerdict::Granted) {
    return false;
  }
  if (verdict == AcceptorVerdict::Outranked) {
    host_.observeBallot(promised);
  }
  rejections_.insert(from);
  const std::size_t voters = members_.list.acceptors.size();
  if (rejections_.size() > voters - majorityOf(voters)) {
    backOff();
  }
  return true;
}

void Proposal::onPrepareReply(const NodeId& from, const PrepareReply& answer) {
  if (isFinished() || phase_ != Phase::Preparing || answer.ballot != ballot_) {
    return;
  }
  if (!isVoteOfAny(host_.safeguards(), members_.list.acceptors, from, answer.storeId)) {
    return;
  }
  if (answer.verdict == AcceptorVerdict::StaleMembers) {
    host_.membersOutdated(members_.version);
  }
  if (onRejection(from, answer.verdict, answer.promised)) {
    return;
  }
  promises_[from] = answer;
  evaluatePromises();
}

void Proposal::evaluatePromises() {
  if (promises_.size() < majorityOf(members_.list.acceptors.size())) {
    return;
  }
  const PrepareReply* newest = nullptr;
  NodeId holder;
  for (const auto& entry : promises_) {
    if (newest == nullptr || newest->accepted.ballot < entry.second.accepted.ballot) {
      newest = &entry.second;
      holder = entry.first;
    }
  }
  const std::size_t agreeing =
      std::count_if(promises_.begin(), promises_.end(), [&](const auto& entry) {
        return entry.second.accepted.ballot == newest->accepted.ballot;
      });
  const bool committed = isCommitted(newest->accepted, agreeing);
  const bool allAnswered = promises_.size() == members_.list.acceptors.size();
  if (!committed && !allAnswered && !graceExpired_) {
    if (!graceTimerStarted_) {
      graceTimerStarted_ = true;
      host_.startTimer(id_, OperationTimer::Pause, kAgreementGrace);
    }
    return;
  }
  changeLogSource_ = holder;
  decide(*newest, committed);
}

bool Proposal::isCommitted(const AcceptedState& newest, std::size_t agreeing) const {
  if (!newest.ballot.isZero() && newest.ballot == lastCommittedBallot_) {
    return true;
  }
  const bool isNextList =
      spec_.registerName == kMembersRegister && newest.version > members_.version;
  return agreeing >= majorityOf(members_.list.acceptors.size()) && !isNextList;
}

void Proposal::decide(const PrepareReply& newest, bool committed) {
  newest_ = newest;
  host_.stopTimer(id_, OperationTimer::Pause);
  const bool trusted = committed || !host_.safeguards().finishBeforeAnswer;
  const bool mustCommit = !trusted || (!spec_.change && (spec_.recommit || spec_.joiningMember));
  if (mustCommit) {
    AcceptedState same = newest_.accepted;
    same.ballot = ballot_;
    startAccepts(Phase::Committing, std::move(same), changeLogSource_);
    return;
  }
  host_.committed(spec_.registerName, {newest_.accepted.version, newest_.accepted.value});
  if (spec_.change && judge(newest_) == Judgement::Build) {
    startAccepts(Phase::Proposing, nextState(), changeLogSource_);
    return;
  }
  conclude();
}

Proposal::Judgement Proposal::judge(const PrepareReply& newest) const {
  const ChangeRequest& change = *spec_.change;
  if (newest.appliedVersion != 0) {
    return newest.appliedContentHash == contentHash_ ? Judgement::Applied : Judgement::Reused;
  }
  if (newest.accepted.version == change.baseVersion) {
    return Judgement::Build;
  }
  // An order can only have produced the version after its base. If that entry has left the log,
  // nobody can tell any more whether this order produced it.
  const std::uint64_t produced = change.baseVersion + 1;
  return produced < newest.firstLoggedVersion ? Judgement::TooOld : Judgement::Conflict;
}

AcceptedState Proposal::nextState() const {
  const AcceptedState& base = newest_.accepted;
  AcceptedState next;
  next.ballot = ballot_;
  next.version = base.version + 1;
  next.value = spec_.change->value;
  next.baseChain = base.version == 0 ? Digest{} : nextChain(base.baseChain, base.entry);
  next.entry = AppliedChange{keyDigest_, contentHash_};
  return next;
}

void Proposal::conclude() {
  ProposalOutcome outcome;
  outcome.value = {newest_.accepted.version, newest_.accepted.value};
  if (!spec_.change) {
    finish(outcome);
    return;
  }
  switch (judge(newest_)) {
  case Judgement::Build:
    beginRound();
    return;
  case Judgement::Applied:
    outcome.outcome = {newest_.appliedVersion, !mayTakeEffect_};
    finish(outcome);
    return;
  case Judgement::Reused:
    finish(
        makeError(ErrorCode::IdempotencyKeyReused, "the order id was applied with other content"));
    return;
  case Judgement::Conflict:
    finish(makeError(ErrorCode::VersionConflict,
                     "current version is " + std::to_string(newest_.accepted.version)));
    return;
  case Judgement::TooOld:
    finish(makeError(ErrorCode::OutcomeUnknown, "the order is older than the ledger"));
    return;
  }
}

void Proposal::startAccepts(Phase phase, AcceptedState state, const NodeId& source) {
  phase_ = phase;
  proposed_ = std::move(state);
  changeLogSource_ = source;
  rejections_.clear();
  mayTakeEffect_ = mayTakeEffect_ || phase == Phase::Proposing;
  if (spec_.registerName == kMembersRegister && proposed_.version > members_.version) {
    Result<MemberList> next = decodeRecord<MemberList>(proposed_.value);
    if (next) {
      nextVoters_ = next.value().acceptors;
    }
  }
  host_.startTimer(id_, OperationTimer::Round, kRoundTimeout);
  sendRequests();
}

void Proposal::onAcceptReply(const NodeId& from, const AcceptReply& answer) {
  const bool accepting = phase_ == Phase::Committing || phase_ == Phase::Proposing;
  if (isFinished() || !accepting || answer.ballot != ballot_) {
    return;
  }
  if (answer.verdict == AcceptorVerdict::ChangeLogMissing) {
    host_.startTimer(id_, OperationTimer::Resend, kChangeLogRetry);
    return;
  }
  if (answer.verdict == AcceptorVerdict::StaleMembers) {
    host_.membersOutdated(members_.version);
  }
  if (onRejection(from, answer.verdict, answer.promised)) {
    return;
  }
  acceptedBy_[from] = answer.storeId;
  evaluateAccepts();
}

bool Proposal::isAcceptedBy(const std::vector<MemberList::Member>& voters) const {
  const std::size_t accepted =
      std::count_if(voters.begin(), voters.end(), [this](const MemberList::Member& member) {
        const auto found = acceptedBy_.find(member.id);
        return found != acceptedBy_.end() &&
               isVoteOf(host_.safeguards(), member, found->first, found->second);
      });
  return accepted >= majorityOf(voters.size());
}

void Proposal::evaluateAccepts() {
  if (!isAcceptedBy(members_.list.acceptors)) {
    return;
  }
  if (!nextVoters_.empty() && !isAcceptedBy(nextVoters_)) {
    return;
  }
  if (spec_.joiningMember && !isAcceptedBy({*spec_.joiningMember})) {
    return;
  }
  lastCommittedBallot_ = ballot_;
  const RegisterValue value{proposed_.version, proposed_.value};
  host_.committed(spec_.registerName, value);
  if (phase_ == Phase::Committing) {
    conclude();
    return;
  }
  finish(ProposalOutcome{value, {value.version, false}});
}

void Proposal::timerExpired(OperationTimer timer) {
  if (isFinished()) {
    return;
  }
  switch (timer) {
  case OperationTimer::Deadline:
    finish(makeError(mayTakeEffect_ ? ErrorCode::OutcomeUnknown : ErrorCode::NoQuorum));
    return;
  case OperationTimer::Round:
    backOff();
    return;
  case OperationTimer::Resend:
    sendRequests();
    return;
  case OperationTimer::Pause:
    if (phase_ == Phase::BackingOff) {
      beginRound();
    } else if (phase_ == Phase::Preparing) {
      graceExpired_ = true;
      evaluatePromises();
    }
    return;
  }
}

void Proposal::finish(Result<ProposalOutcome> result) {
  for (OperationTimer timer : {OperationTimer::Deadline, OperationTimer::Round,
                               OperationTimer::Resend, OperationTimer::Pause}) {
    host_.stopTimer(id_, timer);
  }
  result_ = std::move(result);
}

}  // namespace shedshed

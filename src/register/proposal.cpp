#include "register/proposal.h"

#include <algorithm>
#include <random>

namespace shedshed {

namespace {

/// Delay before an accept is resent to an acceptor that fetches applied changes.
constexpr Duration kChangeLogRetry = std::chrono::milliseconds(10);

/// Moves the change out of @p spec: its value may be large.
std::optional<ProposedChange> takeChange(ProposalSpec& spec) {
  if (!spec.change) {
    return std::nullopt;
  }
  return std::make_optional<ProposedChange>(std::move(*spec.change));
}

}  // namespace

Proposal::Proposal(OperationHost& host, OperationId id, ProposalSpec spec, Done done)
    : host_(host), id_(id), change_(takeChange(spec)), spec_(std::move(spec)),
      done_(std::move(done)) {}

void Proposal::start() {
  host_.startTimer(id_, OperationTimer::Deadline, kOperationDeadline);
  beginRound();
}

void Proposal::beginRound() {
  members_ = host_.members();
  promises_.clear();
  rejections_.clear();
  accepts_.clear();
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
  host_.startTimer(id_, OperationTimer::Resend, kResendInterval);
  if (phase_ == Phase::Preparing) {
    sendPrepares();
  } else {
    sendAccepts();
  }
}

void Proposal::sendPrepares() {
  const Digest keyDigest = change_ ? change_->keyDigest() : Digest{};
  const PrepareRequest request{spec_.registerName, ballot_, members_.version, keyDigest};
  for (const MemberList::Member& member : members_.list.acceptors) {
    if (!promises_.contains(member.id)) {
      host_.context().send(member.id, request);
    }
  }
}

void Proposal::sendAccepts() {
  std::set<NodeId> receivers;
  for (const MemberList::Member& member : members_.list.acceptors) {
    receivers.insert(member.id);
  }
  for (const MemberList::Member& member : nextVoters_) {
    receivers.insert(member.id);
  }
  if (spec_.joiningMember) {
    receivers.insert(spec_.joiningMember->id);
  }
  const AcceptRequest request{spec_.registerName, members_.version, proposed_, changeLogSource_};
  for (const NodeId& receiver : receivers) {
    if (!accepts_.contains(receiver)) {
      host_.context().send(receiver, request);
    }
  }
}

void Proposal::backOff() {
  phase_ = Phase::BackingOff;
  host_.stopTimer(id_, OperationTimer::Round);
  host_.stopTimer(id_, OperationTimer::Resend);
  std::uniform_int_distribution<std::int64_t> delay(kMinBackoff.count(), maxBackoff_.count());
  maxBackoff_ = std::min(maxBackoff_ * 2, kMaxBackoff);
  host_.startTimer(id_, OperationTimer::Delay, Duration(delay(host_.context().random())));
}

bool Proposal::handleRejection(const NodeId& from, AcceptorVerdict verdict,
                               const Ballot& promised) {
  if (verdict == AcceptorVerdict::Granted) {
    return false;
  }
  if (verdict == AcceptorVerdict::BallotTooLow) {
    host_.observeBallot(promised);
  }
  rejections_.insert(from);
  const std::size_t voters = members_.list.acceptors.size();
  if (rejections_.size() > voters - majorityOf(voters)) {
    backOff();
  }
  return true;
}

void Proposal::onPrepareReply(const NodeId& from, const PrepareReply& reply) {
  if (isFinished() || phase_ != Phase::Preparing || reply.ballot != ballot_) {
    return;
  }
  if (!isVoteOfAny(host_.safeguards(), members_.list.acceptors, from, reply.storeId)) {
    return;
  }
  if (reply.verdict == AcceptorVerdict::StaleMembers) {
    host_.membersOutdated(members_.version);
  }
  if (handleRejection(from, reply.verdict, reply.promised)) {
    return;
  }
  promises_.add(from, reply);
  evaluatePromises();
}

void Proposal::evaluatePromises() {
  const std::size_t voters = members_.list.acceptors.size();
  if (promises_.size() < majorityOf(voters)) {
    return;
  }
  const PromiseSet::Newest newest = promises_.newest();
  const bool committed = isCommitted(newest.promise.accepted, newest.agreeing);
  if (!committed && promises_.size() != voters && !graceExpired_) {
    startAgreementGrace();
    return;
  }
  newest_ = newest.promise;
  changeLogSource_ = newest.acceptor;
  commitOrPropose(committed);
}

void Proposal::startAgreementGrace() {
  if (!graceTimerStarted_) {
    graceTimerStarted_ = true;
    host_.startTimer(id_, OperationTimer::Delay, kAgreementGracePeriod);
  }
}

bool Proposal::isCommitted(const AcceptedState& newest, std::size_t agreeing) const {
  if (!newest.ballot.isZero() && newest.ballot == lastCommittedBallot_) {
    return true;
  }
  const bool isNextList =
      spec_.registerName == kMembersRegister && newest.version > members_.version;
  return agreeing >= majorityOf(members_.list.acceptors.size()) && !isNextList;
}

void Proposal::commitOrPropose(bool committed) {
  host_.stopTimer(id_, OperationTimer::Delay);
  const bool trusted = committed || !host_.safeguards().finishBeforeAnswer;
  const bool mustCommit = !trusted || (!change_ && (spec_.recommit || spec_.joiningMember));
  if (mustCommit) {
    AcceptedState recommitted = newest_.accepted;
    recommitted.ballot = ballot_;
    startAccepts(Phase::Committing, std::move(recommitted));
    return;
  }
  host_.committed(spec_.registerName, {newest_.accepted.version, newest_.accepted.value});
  if (change_ && change_->evaluate(newest_) == ProposedChange::Verdict::Proposable) {
    startAccepts(Phase::Proposing, change_->nextState(newest_.accepted, ballot_));
    return;
  }
  conclude();
}

void Proposal::conclude() {
  ProposalOutcome outcome;
  outcome.value = {newest_.accepted.version, newest_.accepted.value};
  if (!change_) {
    finish(outcome);
    return;
  }
  switch (change_->evaluate(newest_)) {
  case ProposedChange::Verdict::Proposable:
    beginRound();
    return;
  case ProposedChange::Verdict::Applied:
    outcome.outcome = {newest_.appliedVersion, !mayTakeEffect_};
    finish(outcome);
    return;
  case ProposedChange::Verdict::KeyReused:
    finish(makeError(ErrorCode::IdempotencyKeyReused,
                     "the order id was already used with other content"));
    return;
  case ProposedChange::Verdict::Conflict:
    finish(makeError(ErrorCode::VersionConflict,
                     "current version is " + std::to_string(newest_.accepted.version)));
    return;
  case ProposedChange::Verdict::Unknown:
    finish(makeError(ErrorCode::OutcomeUnknown, "the change is older than the applied-change log"));
    return;
  }
}

void Proposal::startAccepts(Phase phase, AcceptedState state) {
  phase_ = phase;
  proposed_ = std::move(state);
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

void Proposal::onAcceptReply(const NodeId& from, const AcceptReply& reply) {
  const bool accepting = phase_ == Phase::Committing || phase_ == Phase::Proposing;
  if (isFinished() || !accepting || reply.ballot != ballot_) {
    return;
  }
  if (reply.verdict == AcceptorVerdict::ChangeLogMissing) {
    host_.startTimer(id_, OperationTimer::Resend, kChangeLogRetry);
    return;
  }
  if (reply.verdict == AcceptorVerdict::StaleMembers) {
    host_.membersOutdated(members_.version);
  }
  if (handleRejection(from, reply.verdict, reply.promised)) {
    return;
  }
  accepts_.add(from, reply.storeId);
  evaluateAccepts();
}

void Proposal::evaluateAccepts() {
  const RegisterSafeguards& safeguards = host_.safeguards();
  if (!accepts_.isMajorityOf(members_.list.acceptors, safeguards)) {
    return;
  }
  if (!nextVoters_.empty() && !accepts_.isMajorityOf(nextVoters_, safeguards)) {
    return;
  }
  if (spec_.joiningMember && !accepts_.isMajorityOf({*spec_.joiningMember}, safeguards)) {
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
  case OperationTimer::Delay:
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
                               OperationTimer::Resend, OperationTimer::Delay}) {
    host_.stopTimer(id_, timer);
  }
  result_ = std::move(result);
}

}  // namespace shedshed

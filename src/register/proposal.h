/// @file
/// One operation on one register: a change or a quorum read.
#pragma once

#include "register/accept_set.h"
#include "register/operation.h"
#include "register/promise_set.h"
#include "register/proposed_change.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Parameters of a proposal.
struct ProposalSpec {
  std::string registerName;
  std::optional<ChangeRequest> change;  ///< A read if absent.
  /// Recommit the state under the current member list, even if it is committed.
  bool recommit = false;
  /// A machine outside the member list that must also accept the state before the proposal ends.
  std::optional<MemberList::Member> joiningMember;
};

/// Result of a proposal.
struct ProposalOutcome {
  RegisterValue value;    ///< The committed value at the end.
  ChangeOutcome outcome;  ///< For a change.
};

/// Runs quorum rounds until the operation is decided or its deadline passes.
///
/// One round is: prepare a new ballot with a majority, take the newest accepted state, and
/// 1. if that state is not known to be committed, commit it at this ballot before reporting
///    anything about it. Only then is it certain that no older, incomplete accept (including one of
///    this operation) can still take effect;
/// 2. then evaluate the change against the committed state: report the outcome in the log, reject
///    it, or propose the next version, at a new ballot if step 1 used this one.
/// A change is reported as rejected only after step 1, so a rejected change never takes effect
/// later. Other proposers may run at any time; ballots order them. A crash of this node leaves at
/// most an accept on a minority, which the next proposer completes or overrides.
class Proposal : public Operation {
 public:
  using Done = std::function<void(Result<ProposalOutcome>)>;

  Proposal(OperationHost& host, OperationId id, ProposalSpec spec, Done done);

  void start() override;
  void onPrepareReply(const NodeId& from, const PrepareReply& reply) override;
  void onAcceptReply(const NodeId& from, const AcceptReply& reply) override;
  void timerExpired(OperationTimer timer) override;
  bool isFinished() const override { return result_.has_value(); }
  void report() override { done_(std::move(*result_)); }

 private:
  enum class Phase { BackingOff, Preparing, Committing, Proposing };

  void beginRound();
  void sendRequests();
  void sendPrepares();
  void sendAccepts();
  void backOff();
  /// Counts a rejection; backs off once no majority is left. @return false if @p verdict is not a
  /// rejection
  bool handleRejection(const NodeId& from, AcceptorVerdict verdict, const Ballot& promised);
  void evaluatePromises();
  void startAgreementGrace();
  bool isCommitted(const AcceptedState& newest, std::size_t agreeing) const;
  void commitOrPropose(bool committed);
  /// Reports the outcome based on `newest_`, which is committed, or begins the round that proposes.
  void conclude();
  void startAccepts(Phase phase, AcceptedState state);
  void evaluateAccepts();
  void finish(Result<ProposalOutcome> result);

  OperationHost& host_;
  const OperationId id_;
  const std::optional<ProposedChange> change_;  ///< Absent for a read.
  const ProposalSpec spec_;                     ///< Without its change.
  Done done_;
  std::optional<Result<ProposalOutcome>> result_;

  bool mayTakeEffect_ = false;  ///< An accept of the change itself has been sent.
  Ballot lastCommittedBallot_;  ///< The last ballot at which this operation committed a state.
  Duration maxBackoff_ = kInitialMaxBackoff;

  Phase phase_ = Phase::BackingOff;
  Ballot ballot_;
  KnownMembers members_;  ///< The list that this round uses.
  bool graceExpired_ = false;
  bool graceTimerStarted_ = false;
  PromiseSet promises_;
  std::set<NodeId> rejections_;
  PrepareReply newest_;
  AcceptedState proposed_;
  NodeId changeLogSource_;                      ///< The acceptor that reported `newest_`.
  std::vector<MemberList::Member> nextVoters_;  ///< Voters of a member list being committed.
  AcceptSet accepts_;
};

}  // namespace shedshed

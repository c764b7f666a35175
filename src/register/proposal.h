/// @file
/// One operation on one register: a change, or a read with a majority.
#pragma once

#include "register/quorum.h"
#include "register/register_messages.h"
#include "register/register_options.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Identifies an operation of this process.
using OperationId = std::uint64_t;

/// Timers of one operation.
enum class OperationTimer : std::uint8_t { Deadline = 0, Round = 1, Resend = 2, Pause = 3 };

/// What a proposal needs of its node.
class ProposalHost {
 public:
  virtual ~ProposalHost() = default;
  virtual CoreContext& context() = 0;
  virtual const RegisterSafeguards& safeguards() const = 0;
  /// The newest member list that is known to be committed.
  virtual const KnownMembers& members() const = 0;
  /// A ballot above all that were seen, never used before.
  virtual Ballot nextBallot() = 0;
  virtual void observeBallot(const Ballot& ballot) = 0;
  /// An acceptor holds a newer member list than @p version.
  virtual void membersOutdated(std::uint64_t version) = 0;
  /// @p value is proved to be committed.
  virtual void committed(const std::string& registerName, const RegisterValue& value) = 0;
  virtual void startTimer(OperationId operation, OperationTimer timer, Duration after) = 0;
  virtual void stopTimer(OperationId operation, OperationTimer timer) = 0;
};

/// What an operation is to do.
struct ProposalSpec {
  std::string registerName;
  std::optional<ChangeRequest> change;  ///< A read if absent.
  /// Commit the state again under the present member list, even if it is committed.
  bool recommit = false;
  /// A machine outside the member list that must accept the state too, before `done`.
  std::optional<MemberList::Member> joiningMember;
};

/// What an operation came to.
struct ProposalOutcome {
  RegisterValue value;    ///< The committed value that it ended with.
  ChangeOutcome outcome;  ///< For a change.
};

/// Runs quorum rounds until the operation is decided or its deadline passes.
///
/// One round is: prepare a new ballot with a majority, take the newest accepted state, and
/// 1. if that state is not known to be committed, commit it at this ballot before anything is said
///    of it. Only then is it certain that no older, half-done accept (also one of this very
///    operation) can still come into force;
/// 2. then judge the change against the committed state: answer from its log, refuse it, or go
///    on to propose the next version at a new ballot.
/// A change is reported as rejected only after step 1, so a rejected change never takes effect
/// later.
class Proposal {
 public:
  using Done = std::function<void(Result<ProposalOutcome>)>;

  Proposal(ProposalHost& host, OperationId id, ProposalSpec spec, Done done);

  void start();
  void onPrepareReply(const NodeId& from, const PrepareReply& answer);
  void onAcceptReply(const NodeId& from, const AcceptReply& answer);
  void timerExpired(OperationTimer timer);

  const std::string& registerName() const { return spec_.registerName; }
  bool isFinished() const { return result_.has_value(); }
  /// Reports the outcome. Only once, when finished.
  void report() { done_(std::move(*result_)); }

 private:
  enum class Phase { BackingOff, Preparing, Committing, Proposing };
  enum class Judgement { Build, Applied, Reused, Conflict, TooOld };

  void beginRound();
  void sendRequests();
  void sendAccept(const NodeId& to);
  void backOff();
  bool onRejection(const NodeId& from, AcceptorVerdict verdict, const Ballot& promised);
  void evaluatePromises();
  bool isCommitted(const AcceptedState& newest, std::size_t agreeing) const;
  void decide(const PrepareReply& newest, bool committed);
  Judgement judge(const PrepareReply& newest) const;
  void conclude();
  void startAccepts(Phase phase, AcceptedState state, const NodeId& source);
  bool isAcceptedBy(const std::vector<MemberList::Member>& voters) const;
  void evaluateAccepts();
  AcceptedState nextState() const;
  void finish(Result<ProposalOutcome> result);

  ProposalHost& host_;
  const OperationId id_;
  const ProposalSpec spec_;
  Done done_;
  std::optional<Result<ProposalOutcome>> result_;

  Digest keyDigest_;
  std::uint64_t contentHash_ = 0;
  bool mayTakeEffect_ = false;  ///< An accept of the change itself has been sent.
  Ballot lastCommittedBallot_;  ///< The last ballot at which this operation committed a state.
  Duration maxBackoff_ = kInitialMaxBackoff;

  Phase phase_ = Phase::BackingOff;
  Ballot ballot_;
  KnownMembers members_;  ///< The list that this round goes by.
  bool graceExpired_ = false;
  bool graceTimerStarted_ = false;
  std::map<NodeId, PrepareReply> promises_;
  std::set<NodeId> rejections_;
  PrepareReply newest_;
  AcceptedState proposed_;
  NodeId changeLogSource_;
  std::vector<MemberList::Member> nextVoters_;  ///< Voters of a member list being committed.
  std::map<NodeId, std::string> acceptedBy_;    ///< Store id of each acceptor that accepted.
};

}  // namespace shedshed

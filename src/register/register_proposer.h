/// @file
/// The proposer of one node: runs its operations on the registers.
#pragma once

#include "register/committed_members.h"
#include "register/member_replacement.h"
#include "register/membership_operation.h"
#include "register/operation.h"
#include "register/proposal.h"
#include "register/quorum_reader.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Owns the operations of this node, generates their ballots, and dispatches timers and the replies
/// of the acceptors to them. Nothing of it is durable: the random incarnation of each start
/// distinguishes ballots and request ids from those before a restart. Core thread only.
class RegisterProposer : private OperationHost {
 public:
  using CommittedListener = std::function<void(const std::string&, const RegisterValue&)>;

  /// Keeps references; they must outlive it.
  RegisterProposer(CoreContext& context, const RegisterSafeguards& safeguards,
                   CommittedMembers& members);

  /// Generates the incarnation. Must be called once, before any operation.
  void start();

  /// Calls @p listener for each value that an operation proved to be committed.
  void setCommittedListener(CommittedListener listener) {
    committedListener_ = std::move(listener);
  }

  void propose(ProposalSpec spec, Proposal::Done done);

  /// Reads a register with a majority, which commits its state if it was not committed.
  void read(const std::string& registerName, std::function<void(Result<RegisterValue>)> done);

  /// See `QuorumReader::start`.
  void proveCurrent(std::map<std::string, std::uint64_t> known, QuorumReader::Done done);

  /// See `FleetFormation`.
  void formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores, std::uint32_t replicas,
                 MembershipDone done);

  /// See `MemberReplacement`.
  void changeMember(std::optional<NodeId> oldId, const NodeId& newId, MembershipDone done);

  void receive(const NodeId& from, const Message& message);
  void timerExpired(TimerId timer);

  /// Removes the finished operations and calls back with their results. Must be called after each
  /// event, and not from within an operation.
  void reportFinished();

 private:
  OperationHost& host() { return *this; }
  CoreContext& context() override { return context_; }
  const RegisterSafeguards& safeguards() const override { return safeguards_; }
  const KnownMembers& members() const override { return members_.known(); }
  Ballot nextBallot() override;
  void observeBallot(const Ballot& ballot) override;
  void membersOutdated(std::uint64_t version) override;
  void committed(const std::string& registerName, const RegisterValue& value) override;
  void startTimer(OperationId operation, OperationTimer timer, Duration after) override;
  void stopTimer(OperationId operation, OperationTimer timer) override;

  void startOperation(OperationId id, std::unique_ptr<Operation> operation);
  /// Calls @p handler of all operations with a reply of type @p Reply; each ignores others'
  /// replies.
  template <class Reply>
  bool dispatchReply(const NodeId& from, const Message& message,
                     void (Operation::*handler)(const NodeId&, const Reply&));
  bool reportOneFinished();
  /// Reads a register whose acceptors disagree, which recommits it. One read per register at a
  /// time.
  void repair(const std::string& registerName);

  CoreContext& context_;
  const RegisterSafeguards& safeguards_;
  CommittedMembers& members_;
  QuorumReader reader_;
  CommittedListener committedListener_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t highestRound_ = 0;
  OperationId lastOperation_ = 0;
  std::map<OperationId, std::unique_ptr<Operation>> operations_;
  std::set<std::string> repairing_;
};

}  // namespace shedshed

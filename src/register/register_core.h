/// @file
/// The register service of one node: proposers on every node, an acceptor on nodes with a disk.
#pragma once

#include "register/acceptor.h"
#include "register/configuration_register.h"
#include "register/fleet_formation.h"
#include "register/member_replacement.h"
#include "register/proposal.h"
#include "register/quorum_reader.h"

#include <map>
#include <memory>
#include <set>

namespace shedshed {

/// Core of `ServiceId::Register`.
class RegisterCore : public Core, public ConfigurationRegister, private ProposalHost {
 public:
  RegisterCore(CoreContext& context, RegisterOptions options);
  ~RegisterCore() override;

  /// Learns member lists from @p source, as every node without a quorum read of its own must.
  void setConfigurationSource(ConfigurationSource& source);

  /// Calls @p listener for each value that an operation of this node proved to be committed.
  void setCommittedListener(std::function<void(const std::string&, const RegisterValue&)> listener);

  /// Calls @p listener when this node's acceptor was asked to accept a state: a new value may be
  /// about to be committed.
  void setAcceptedListener(std::function<void()> listener);

  /// Calls @p listener once for each node that reads from this node's acceptor, at its first read
  /// in this life of the process.
  void setNewReaderListener(std::function<void()> listener);

  /// The settings and engines registers only: the members register changes by `replaceMember`.
  void change(ChangeRequest request, std::function<void(Result<ChangeOutcome>)> done) override;
  void read(const std::string& registerName,
            std::function<void(Result<RegisterValue>)> done) override;

  /// Proves with a majority which values are newest and returns those above the versions in
  /// @p known. One at a time; a read that is still open is given up with `NoQuorum`.
  void proveCurrent(std::map<std::string, std::uint64_t> known, QuorumReader::Done done);

  /// Forms a fleet of the machines at these addresses, in which @p replicas stores hold each
  /// partition, neighbours in the order of @p stores; 0 means all. Idempotent for the same lists
  /// and disks;
  /// otherwise fails with `AlreadyExists`. `NoQuorum`: nothing was written; `OutcomeUnknown`: send
  /// the same order again.
  void formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores, std::uint32_t replicas,
                 FormationDone done);

  /// Replaces one member; `done` holds the new list once the joining member has every register.
  /// Safe to send again after any failure.
  void replaceMember(const NodeId& oldId, const NodeId& newId, ReplacementDone done);

  /// Makes a machine that is no member one more acceptor. Otherwise as `replaceMember`.
  void addAcceptor(const NodeId& newId, ReplacementDone done);

  /// The newest member list that this node knows to be committed; version 0 if none.
  const KnownMembers& knownMembers() const { return members_; }

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;
  void persisted(PersistId id, const Status& status) override;

 private:
  ProposalHost& host() { return *this; }
  CoreContext& context() override { return context_; }
  const RegisterSafeguards& safeguards() const override { return options_.safeguards; }
  const KnownMembers& members() const override { return members_; }
  Ballot nextBallot() override;
  void observeBallot(const Ballot& ballot) override;
  void membersOutdated(std::uint64_t version) override;
  void committed(const std::string& registerName, const RegisterValue& value) override;
  void startTimer(OperationId operation, OperationTimer timer, Duration after) override;
  void stopTimer(OperationId operation, OperationTimer timer) override;

  void changeMember(MemberChange change, const NodeId& oldId, const NodeId& newId,
                    ReplacementDone done);
  void loadMembers();
  void learnMembers(const RegisterValue& value);
  void runProposal(ProposalSpec spec, Proposal::Done done);
  void repair(const std::string& registerName);
  bool receiveAsAcceptor(const NodeId& from, const Message& message);
  void receiveAsProposer(const NodeId& from, const Message& message);
  void onReadRequest(const NodeId& from, const ReadRequest& request);
  void formed(const NodeId& from, const FormRequest& request);
  void reportFinished();

  CoreContext& context_;
  const RegisterOptions options_;
  SyncedOutbox outbox_;
  std::unique_ptr<Acceptor> acceptor_;  ///< Null without a disk, or if its records are corrupt.
  KnownMembers members_;
  QuorumReader reader_;
  std::function<void(const std::string&, const RegisterValue&)> committedListener_;
  std::function<void()> acceptedListener_;
  std::function<void()> newReaderListener_;
  std::set<NodeId> readers_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t highestRound_ = 0;
  OperationId lastOperation_ = 0;
  std::map<OperationId, std::unique_ptr<Proposal>> proposals_;
  std::map<OperationId, std::unique_ptr<FleetFormation>> formations_;
  std::map<OperationId, std::unique_ptr<MemberReplacement>> replacements_;
  std::set<std::string> repairing_;
};

}  // namespace shedshed

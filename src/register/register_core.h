/// @file
/// The register service of one node: a proposer on every node, an acceptor on nodes with a disk.
#pragma once

#include "kernel/core.h"
#include "register/acceptor.h"
#include "register/committed_members.h"
#include "register/configuration_register.h"
#include "register/register_proposer.h"
#include "register/synced_outbox.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shedshed {

/// Core of `ServiceId::Register`. Dispatches requests to the acceptor and replies to the proposer
/// of this node, which share the committed member list. Core thread only.
class RegisterCore : public Core, public ConfigurationRegister {
 public:
  RegisterCore(CoreContext& context, RegisterOptions options);
  ~RegisterCore() override;

  /// Learns member lists from @p source, which nodes that make no quorum reads depend on.
  void setConfigurationSource(ConfigurationSource& source);

  /// Calls @p listener for each value that an operation of this node proved to be committed.
  void setCommittedListener(std::function<void(const std::string&, const RegisterValue&)> listener);

  /// Calls @p listener when this node's acceptor was requested to accept a state: a new value may
  /// be about to be committed.
  void setAcceptedListener(std::function<void()> listener);

  /// Calls @p listener once for each node that reads from this node's acceptor, at its first read
  /// since this process started.
  void setNewReaderListener(std::function<void()> listener);

  /// All registers but the members register, which changes by `replaceMember` and `addAcceptor`.
  void change(ChangeRequest request, std::function<void(Result<ChangeOutcome>)> done) override;
  void read(const std::string& registerName,
            std::function<void(Result<RegisterValue>)> done) override;

  /// Proves with a majority which values are newest and returns those above the versions in
  /// @p known. One at a time; a read in progress is abandoned with `NoQuorum`.
  void proveCurrent(std::map<std::string, std::uint64_t> known, QuorumReader::Done done);

  /// Forms a fleet of the machines at these addresses, in which @p replicas stores hold each
  /// partition, neighbours in the order of @p stores; 0 means all. Idempotent for the same lists
  /// and disks; otherwise fails with `AlreadyExists`. `NoQuorum`: nothing was written;
  /// `OutcomeUnknown`: resend the same request.
  void formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores, std::uint32_t replicas,
                 MembershipDone done);

  /// Replaces one member; @p done gets the new list once the joining member has every register.
  /// Safe to repeat after any failure.
  void replaceMember(const NodeId& oldId, const NodeId& newId, MembershipDone done);

  /// Adds a machine that is not a member as an acceptor. Otherwise as `replaceMember`.
  void addAcceptor(const NodeId& newId, MembershipDone done);

  /// The newest member list that this node knows to be committed; version 0 if none.
  const KnownMembers& knownMembers() const { return members_.known(); }

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;
  void persisted(PersistId id, const Status& status) override;

 private:
  void loadAcceptor();
  /// @return true if @p message was a request.
  bool receiveRequest(const NodeId& from, const Message& message);
  bool receivePaxosRequest(const NodeId& from, const Message& message);
  bool receiveMembershipRequest(const NodeId& from, const Message& message);
  void onAcceptRequest(const NodeId& from, const AcceptRequest& request);
  void onReadRequest(const NodeId& from, const ReadRequest& request);
  void onMembersCommitted(const NodeId& from, const MembersCommitted& announcement);
  void onFormRequest(const NodeId& from, const FormRequest& request);

  CoreContext& context_;
  const RegisterOptions options_;
  SyncedOutbox outbox_;
  CommittedMembers members_;
  std::unique_ptr<Acceptor> acceptor_;  ///< Null without a disk, or if its records are corrupt.
  RegisterProposer proposer_;
  std::function<void()> acceptedListener_;
  std::function<void()> newReaderListener_;
  std::set<NodeId> readers_;
};

}  // namespace shedshed

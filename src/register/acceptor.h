/// @file
/// The acceptor of all registers on a node with a disk.
///
/// For each register it keeps the promised ballot, the accepted state and the complete log of
/// that state, synced before any answer. The usual argument of single-decree agreement holds for
/// each ballot: a proposer that has a majority of promises sees every state that an earlier ballot
/// may have committed, and later accepts of earlier ballots are rejected by a majority.
///
/// Member lists change by one member at a time, so majorities of two consecutive lists always
/// intersect, but those of lists further apart need not. Therefore an acceptor that has accepted
/// list m+1 refuses proposers of other registers that go by list m (list m+1 is committed by a
/// majority of both lists, so from then on no quorum of list m exists), and refuses proposers of
/// the members register that are two lists behind. The replacement procedure commits every
/// register again under the present list before the next list is proposed.
#pragma once

#include "register/register_messages.h"
#include "register/register_options.h"
#include "register/synced_outbox.h"

#include <map>
#include <memory>
#include <string>

namespace shedshed {

/// Changes in one `ChangeLogChunk`: about 120 KB.
inline constexpr std::size_t kMaxChunkEntries = 4000;

/// Returns the names of all registers, sorted.
const std::vector<std::string>& registerNames();

/// Returns the state that forming a fleet writes into the members register as version 1.
AcceptedState initialMembersState(const MemberList& members);

/// The acceptor of one node.
class Acceptor {
 public:
  Acceptor(CoreContext& context, SyncedOutbox& outbox, const RegisterOptions& options);

  /// Restores the registers from the node's records; fails with `StorageCorrupt`.
  Status load();

  void prepare(const NodeId& from, const PrepareRequest& request);
  void accept(const NodeId& from, const AcceptRequest& request);
  void read(const NodeId& from, const ReadRequest& request);
  void sendChangeLog(const NodeId& from, const ChangeLogRequest& request);
  void addChangeLogChunk(const NodeId& from, const ChangeLogChunk& part);
  void sendIdentity(const NodeId& from, const IdentityRequest& request);

  /// Becomes an acceptor of a new fleet. @return false if this disk belongs to another one.
  bool form(const FormRequest& request);

 private:
  /// A log that is being completed from another acceptor.
  struct Staging {
    std::uint64_t upToVersion = 0;
    AppliedChangeLog log;
  };
  struct Register {
    Ballot promised;
    AcceptedState accepted;
    AppliedChangeLog log;
    std::unique_ptr<Staging> staging;
  };

  Register* find(const std::string& name);
  std::uint64_t membersVersion() const;
  /// An empty disk takes no part until a fleet is formed with it or admits it.
  bool mayVote() const;
  std::uint64_t initialMembersHash() const;
  bool isStale(const std::string& name, std::uint64_t membersVersion) const;
  bool completeChangeLog(Register& target, const AcceptedState& state);
  void fetchChangeLog(Register& target, const AcceptRequest& request);
  void persistAccepted(const std::string& name, Register& changed);

  CoreContext& context_;
  SyncedOutbox& outbox_;
  const RegisterOptions options_;
  std::map<std::string, Register> registers_;
};

}  // namespace shedshed

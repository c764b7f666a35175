/// @file
/// The acceptor of all registers on a node with a disk.
///
/// For each register it stores the promised ballot, the accepted state and the complete
/// applied-change log of that state, synced before any reply. The safety argument of single-decree
/// Paxos applies: a proposer that has a majority of promises sees every state that an earlier
/// ballot may have committed, and later accepts of earlier ballots are rejected by a majority.
///
/// Member lists change by one member at a time, so majorities of two consecutive lists always
/// intersect, but those of lists further apart need not. Therefore an acceptor that has accepted
/// list m+1 rejects proposers of other registers that use list m (list m+1 is committed by a
/// majority of both lists, so from then on no quorum of list m exists), and rejects proposers of
/// the members register that are two lists behind. The replacement procedure recommits every
/// register under the current list before the next list is proposed.
#pragma once

#include "register/acceptor_register.h"
#include "register/register_messages.h"
#include "register/register_options.h"
#include "register/synced_outbox.h"

#include <map>
#include <string>

namespace shedshed {

/// Maximum number of applied changes in one `ChangeLogChunk`: about 120 KB.
inline constexpr std::size_t kMaxChunkEntries = 4000;

/// Returns the names of all registers, sorted.
const std::vector<std::string>& registerNames();

/// Returns the state that forming a fleet writes into the members register as version 1.
AcceptedState initialMembersState(const MemberList& members);

/// The acceptor of one node: applies the checks of the protocol to its registers. Requests may be
/// duplicated and reordered. Core thread only.
class Acceptor {
 public:
  Acceptor(CoreContext& context, SyncedOutbox& outbox, const RegisterOptions& options);

  /// Restores the registers from the node's records; fails with `StorageCorrupt`.
  Status load();

  /// Promises to accept nothing below the ballot, unless a higher one was promised.
  void prepare(const NodeId& from, const PrepareRequest& request);
  /// Accepts the state, unless a higher ballot was promised or the log has to be fetched first.
  void accept(const NodeId& from, const AcceptRequest& request);
  /// Replies with the accepted state of all registers.
  void read(const NodeId& from, const ReadRequest& request);
  /// Sends a chunk of a log to an acceptor that is catching up.
  void sendChangeLog(const NodeId& from, const ChangeLogRequest& request);
  /// Adds a chunk that this acceptor has requested, and requests the next one.
  void addChangeLogChunk(const NodeId& from, const ChangeLogChunk& chunk);
  /// Replies with the store id and the identity of the fleet that the disk belongs to.
  void sendIdentity(const NodeId& from, const IdentityRequest& request);

  /// Becomes an acceptor of a new fleet. @return false if this disk belongs to another one.
  bool form(const FormRequest& request);

 private:
  AcceptorRegister* find(const std::string& name);
  const AcceptorRegister& membersRegister() const;
  std::uint64_t membersVersion() const;
  /// An empty disk does not vote until a fleet is formed with it or adds it.
  bool mayVote() const;
  /// Hash of the first member list of this disk's fleet; 0 if it belongs to none.
  std::uint64_t initialMembersHash() const;
  /// True if a proposer that uses @p membersVersion must be rejected for register @p name.
  bool isStale(const std::string& name, std::uint64_t membersVersion) const;
  /// Fills @p reply to a prepare that has been granted by @p target.
  void fillPromise(const AcceptorRegister& target, const PrepareRequest& request,
                   PrepareReply& reply) const;
  /// Accepts the state of @p request unless a check forbids it.
  AcceptorVerdict decideAccept(AcceptorRegister& target, const AcceptRequest& request);

  CoreContext& context_;
  SyncedOutbox& outbox_;
  const RegisterOptions options_;
  std::map<std::string, AcceptorRegister> registers_;
};

}  // namespace shedshed

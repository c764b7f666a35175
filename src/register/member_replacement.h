/// @file
/// Replaces one machine of the member list, or adds an acceptor to it.
#pragma once

#include "register/proposal.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace shedshed {

using ReplacementDone = std::function<void(Result<MemberList>)>;

/// Starts a proposal; its answer goes back to the replacement.
using RunProposal = std::function<void(ProposalSpec, std::function<void(Result<ProposalOutcome>)>)>;

/// What becomes of the member list.
enum class MemberChange {
  Replacement,       ///< The joining member takes the place of a member.
  AcceptorAddition,  ///< The joining member becomes one more acceptor; nobody leaves.
};

/// The steps of one replacement or addition, all of which may be repeated:
/// 1. ask the joining member for its store id;
/// 2. commit every register again under the present list, with the joining member as an additional
///    acceptor that must accept too: then it holds all the data, and whatever older lists committed
///    is on a majority of the present one;
/// 3. change the members register, committed by majorities of the old and of the new list;
/// 4. let a majority of the new list, the joining member among it, note that the new list is
/// committed.
///    Otherwise only this node would know, and with it lost the others could not tell: the machines
///    of the old list that would prove it may be gone by then;
/// 5. commit every register again under the new list. Only now is the replacement reported done.
/// The old and the new id may be equal: an emptied machine that comes back at its address.
class MemberReplacement {
 public:
  /// @p oldId is not used for an addition.
  MemberReplacement(ProposalHost& host, OperationId id, MemberChange change, NodeId oldId,
                    NodeId newId, RunProposal runProposal, ReplacementDone done);

  void start();
  void onIdentityReply(const NodeId& from, const IdentityReply& answer);
  void onMembersAcknowledged(const NodeId& from, const MembersAcknowledged& answer);
  void timerExpired(OperationTimer timer);

  bool isFinished() const { return result_.has_value(); }
  void report() { done_(std::move(*result_)); }

 private:
  void readMembers();
  void membersRead(const Result<ProposalOutcome>& read);
  void copyRegisters(std::size_t index);
  void changeMembers();
  bool isAddition() const { return change_ == MemberChange::AcceptorAddition; }
  void announceMembers();
  void sendRequests();
  void finish(Result<MemberList> result);

  ProposalHost& host_;
  const OperationId id_;
  const MemberChange change_;
  const NodeId oldId_;
  const NodeId newId_;
  RunProposal runProposal_;
  ReplacementDone done_;
  std::optional<Result<MemberList>> result_;
  MemberList::Member joining_;
  std::uint64_t baseVersion_ = 0;
  MemberList list_;           ///< The list after the replacement.
  bool isMemberNow_ = false;  ///< The members register holds `list_`.
  bool isAnnouncing_ = false;
  std::map<NodeId, std::string>
      acknowledgedBy_;  ///< Store id of each acceptor that acknowledged `list_`.
};

}  // namespace shedshed

/// @file
/// Replaces one machine of the member list, or adds an acceptor to it.
#pragma once

#include "register/membership_operation.h"
#include "register/proposal.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace shedshed {

/// Starts a proposal and reports its outcome to the callback.
using RunProposal = std::function<void(ProposalSpec, std::function<void(Result<ProposalOutcome>)>)>;

/// The steps of one replacement or addition, each of which may be repeated:
/// 1. request the store id of the joining member;
/// 2. recommit every register under the current list, with the joining member as an additional
///    acceptor that must accept too: then it has all the data, and whatever older lists committed
///    is on a majority of the current one;
/// 3. change the members register, committed by majorities of the old and of the new list;
/// 4. have a majority of the new list, including the joining member, record durably that the new
///    list is committed. Otherwise only this node would know, and if it failed the others could not
///    prove it: the machines of the old list needed for that may be gone by then;
/// 5. recommit every register under the new list. Only then is the replacement reported as done.
/// The old and the new id may be equal: an emptied machine that restarts at its address.
class MemberReplacement : public MembershipOperation {
 public:
  /// @p oldId is the member to be replaced; nullopt adds an acceptor.
  MemberReplacement(OperationHost& host, OperationId id, std::optional<NodeId> oldId, NodeId newId,
                    RunProposal runProposal, MembershipDone done);

  void start() override;
  void onIdentityReply(const NodeId& from, const IdentityReply& reply) override;
  void onMembersAcknowledged(const NodeId& from, const MembersAcknowledged& reply) override;

 private:
  void readMembers();
  void onMembersRead(const Result<ProposalOutcome>& read);
  /// The reason why the change is not applicable to the current list, if any.
  std::optional<Error> validate() const;
  /// True if a majority of the current list, including the joining machine if it is an acceptor,
  /// has acknowledged the list.
  bool isAcknowledgedByMajority() const;
  void copyRegisters(std::size_t index);
  void changeMembers();
  bool isAddition() const { return !oldId_; }
  void announceMembers();
  void sendRequests() override;
  Error deadlineError() const override;

  const std::optional<NodeId> oldId_;  ///< Nullopt for an addition.
  const NodeId newId_;
  RunProposal runProposal_;
  MemberList::Member joining_;
  std::uint64_t baseVersion_ = 0;
  MemberList list_;           ///< The list after the replacement.
  bool isMemberNow_ = false;  ///< The members register holds `list_`.
  bool isAnnouncing_ = false;
  /// Store id of each acceptor that acknowledged `list_`.
  std::map<NodeId, std::string> acknowledgedBy_;
};

}  // namespace shedshed

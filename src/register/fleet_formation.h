/// @file
/// The explicit order that makes a fleet out of empty disks.
#pragma once

#include "register/proposal.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace shedshed {

using FormationDone = std::function<void(Result<MemberList>)>;

/// Collects the store id of every listed machine, then writes the first member list to all
/// acceptors. Nothing is written before every machine has answered, and nothing if one of them
/// belongs to a fleet with another first list. An emptied machine has another store id and so makes
/// another list: machines that lost their disks cannot form a second history together with one
/// that did not. Empty disks by themselves never form anything.
class FleetFormation {
 public:
  FleetFormation(ProposalHost& host, OperationId id, std::vector<NodeId> acceptors,
                 std::vector<NodeId> stores, std::uint32_t replicas, FormationDone done);

  void start();
  void onIdentityReply(const NodeId& from, const IdentityReply& answer);
  void onFormReply(const NodeId& from, const FormReply& answer);
  void timerExpired(OperationTimer timer);

  bool isFinished() const { return result_.has_value(); }
  void report() { done_(std::move(*result_)); }

 private:
  void sendRequests();
  void buildList();
  std::vector<MemberList::Member> membersOf(const std::vector<NodeId>& ids) const;
  void finish(Result<MemberList> result);

  ProposalHost& host_;
  const OperationId id_;
  std::vector<NodeId> acceptors_;
  std::vector<NodeId> stores_;
  const std::uint32_t replicas_;
  FormationDone done_;
  std::optional<Result<MemberList>> result_;
  std::map<NodeId, IdentityReply> identities_;
  std::optional<MemberList> list_;  ///< Set once all identities are known.
  std::set<NodeId> formed_;
};

}  // namespace shedshed

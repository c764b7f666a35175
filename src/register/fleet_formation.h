/// @file
/// Forms a fleet of empty disks on an explicit request.
#pragma once

#include "register/membership_operation.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace shedshed {

/// Collects the store id of every listed machine, then writes the first member list to all
/// acceptors. Nothing is written before every machine has replied, and nothing if one of them
/// belongs to a fleet with another first list. An emptied machine has another store id and so makes
/// another list: machines that lost their disks cannot form a second history together with one that
/// did not. Empty disks never form a fleet without a request.
class FleetFormation : public MembershipOperation {
 public:
  FleetFormation(OperationHost& host, OperationId id, std::vector<NodeId> acceptors,
                 std::vector<NodeId> stores, std::uint32_t replicas, MembershipDone done);

  void start() override;
  void onIdentityReply(const NodeId& from, const IdentityReply& reply) override;
  void onFormReply(const NodeId& from, const FormReply& reply) override;

 private:
  void sendRequests() override;
  Error deadlineError() const override;
  void buildList();
  /// All machines of both lists.
  std::set<NodeId> machines() const;
  std::vector<MemberList::Member> membersOf(const std::vector<NodeId>& ids) const;

  std::vector<NodeId> acceptors_;
  std::vector<NodeId> stores_;
  const std::uint32_t replicas_;
  std::map<NodeId, IdentityReply> identities_;  ///< By machine that has replied.
  std::optional<MemberList> list_;              ///< Set once all identities are known.
  std::set<NodeId> formed_;                     ///< Acceptors that hold `list_`.
};

}  // namespace shedshed

#include "register/fleet_formation.h"

#include "register/acceptor.h"

#include <algorithm>

namespace shedshed {

namespace {

void sortAndDeduplicate(std::vector<NodeId>& ids) {
  std::sort(ids.begin(), ids.end());
  ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
}

/// Keeps the order, which determines the stores that share a partition.
void removeDuplicates(std::vector<NodeId>& ids) {
  std::set<NodeId> seen;
  ids.erase(std::remove_if(ids.begin(), ids.end(),
                           [&seen](const NodeId& id) { return !seen.insert(id).second; }),
            ids.end());
}

}  // namespace

FleetFormation::FleetFormation(OperationHost& host, OperationId id, std::vector<NodeId> acceptors,
                               std::vector<NodeId> stores, std::uint32_t replicas,
                               MembershipDone done)
    : MembershipOperation(host, id, std::move(done)), acceptors_(std::move(acceptors)),
      stores_(std::move(stores)), replicas_(replicas) {
  sortAndDeduplicate(acceptors_);
  removeDuplicates(stores_);
}

void FleetFormation::start() {
  if (acceptors_.empty()) {
    finish(makeError(ErrorCode::InvalidArgument, "acceptors: must not be empty"));
    return;
  }
  startRequests();
}

void FleetFormation::sendRequests() {
  startResendTimer();
  if (list_) {
    for (const NodeId& acceptor : acceptors_) {
      if (formed_.count(acceptor) == 0) {
        host_.context().send(acceptor, FormRequest{id_, *list_});
      }
    }
    return;
  }
  for (const NodeId& machine : machines()) {
    if (identities_.count(machine) == 0) {
      host_.context().send(machine, IdentityRequest{id_});
    }
  }
}

void FleetFormation::onIdentityReply(const NodeId& from, const IdentityReply& reply) {
  if (isFinished() || list_ || reply.requestId != id_) {
    return;
  }
  if (reply.storeId.empty()) {
    finish(makeError(ErrorCode::InvalidArgument, from.address + ": has no disk"));
    return;
  }
  identities_[from] = reply;
  if (identities_.size() == machines().size()) {
    buildList();
  }
}

std::set<NodeId> FleetFormation::machines() const {
  std::set<NodeId> machines(acceptors_.begin(), acceptors_.end());
  machines.insert(stores_.begin(), stores_.end());
  return machines;
}

std::vector<MemberList::Member> FleetFormation::membersOf(const std::vector<NodeId>& ids) const {
  std::vector<MemberList::Member> members;
  for (const NodeId& id : ids) {
    members.push_back({id, identities_.at(id).storeId});
  }
  return members;
}

void FleetFormation::buildList() {
  MemberList list;
  list.acceptors = membersOf(acceptors_);
  list.stores = membersOf(stores_);
  list.replicas = replicas_;
  const std::uint64_t expectedHash = initialMembersState(list).entry.contentHash;
  for (const auto& identity : identities_) {
    const std::uint64_t reportedHash = identity.second.initialMembersHash;
    if (reportedHash != 0 && reportedHash != expectedHash) {
      finish(makeError(ErrorCode::AlreadyExists,
                       identity.first.address +
                           ": already belongs to a fleet with other members or disks"));
      return;
    }
  }
  list_ = std::move(list);
  sendRequests();
}

void FleetFormation::onFormReply(const NodeId& from, const FormReply& reply) {
  if (isFinished() || !list_ || reply.requestId != id_) {
    return;
  }
  if (!reply.formed) {
    finish(makeError(ErrorCode::AlreadyExists,
                     from.address + ": already belongs to a fleet with other members"));
    return;
  }
  formed_.insert(from);
  if (formed_.size() == acceptors_.size()) {
    host_.committed(kMembersRegister, {1, encodeRecord(*list_)});
    finish(*list_);
  }
}

Error FleetFormation::deadlineError() const {
  return makeError(list_ ? ErrorCode::OutcomeUnknown : ErrorCode::NoQuorum,
                   "not all machines replied within the deadline");
}

}  // namespace shedshed

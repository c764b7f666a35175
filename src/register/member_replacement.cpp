#include "register/member_replacement.h"

#include "register/acceptor.h"
#include "register/member_lists.h"

#include <algorithm>

namespace shedshed {

namespace {

bool isListed(const MemberList& list, const NodeId& id) {
  return isListed(list.acceptors, id) || isListed(list.stores, id);
}

void replaceIn(std::vector<MemberList::Member>& members, const NodeId& old,
               const MemberList::Member& joiningMember) {
  for (MemberList::Member& member : members) {
    if (member.id == old) {
      member = joiningMember;
    }
  }
}

/// Names of the registers in the order of copying: an empty disk accepts the member list first.
const std::vector<std::string>& copyOrder() {
  static const std::vector<std::string> order = {kMembersRegister, kEnginesRegister,
                                                 kSettingsRegister, kRetirementsRegister};
  return order;
}

}  // namespace

MemberReplacement::MemberReplacement(OperationHost& host, OperationId id,
                                     std::optional<NodeId> oldId, NodeId newId,
                                     RunProposal runProposal, MembershipDone done)
    : MembershipOperation(host, id, std::move(done)), oldId_(std::move(oldId)),
      newId_(std::move(newId)), runProposal_(std::move(runProposal)) {}

void MemberReplacement::start() {
  startRequests();
}

void MemberReplacement::sendRequests() {
  startResendTimer();
  if (!isAnnouncing_) {
    host_.context().send(newId_, IdentityRequest{id_});
    return;
  }
  const MembersCommitted announcement{id_, {baseVersion_, encodeRecord(list_)}};
  for (const MemberList::Member& member : list_.acceptors) {
    if (acknowledgedBy_.count(member.id) == 0) {
      host_.context().send(member.id, announcement);
    }
  }
}

void MemberReplacement::onIdentityReply(const NodeId& from, const IdentityReply& reply) {
  const bool expected = from == newId_ && reply.requestId == id_ && joining_.storeId.empty();
  if (isFinished() || !expected) {
    return;
  }
  if (reply.storeId.empty()) {
    finish(makeError(ErrorCode::InvalidArgument, newId_.address + ": has no disk"));
    return;
  }
  stopTimers();
  joining_ = {newId_, reply.storeId};
  readMembers();
}

Error MemberReplacement::deadlineError() const {
  return makeError(isAnnouncing_ ? ErrorCode::OutcomeUnknown : ErrorCode::NoQuorum,
                   newId_.address + ": no reply within the deadline");
}

void MemberReplacement::readMembers() {
  ProposalSpec spec;
  spec.registerName = kMembersRegister;
  runProposal_(spec, [this](Result<ProposalOutcome> read) { onMembersRead(read); });
}

void MemberReplacement::onMembersRead(const Result<ProposalOutcome>& read) {
  if (!read) {
    finish(read.error());
    return;
  }
  Result<MemberList> list = decodeRecord<MemberList>(read.value().value.value);
  if (!list) {
    finish(makeError(ErrorCode::NotReady, "no fleet has been formed"));
    return;
  }
  baseVersion_ = read.value().value.version;
  list_ = std::move(list).value();
  isMemberNow_ = isListed(list_.acceptors, joining_) || isListed(list_.stores, joining_);
  if (std::optional<Error> error = validate()) {
    finish(std::move(*error));
    return;
  }
  if (isMemberNow_) {
    announceMembers();
  } else {
    copyRegisters(0);
  }
}

std::optional<Error> MemberReplacement::validate() const {
  if (isMemberNow_) {
    const bool isOtherMember = !isAddition() && newId_ != oldId_ && isListed(list_, *oldId_);
    return isOtherMember ? std::make_optional(makeError(ErrorCode::AlreadyExists,
                                                        newId_.address + ": is already a member"))
                         : std::nullopt;
  }
  if (!isAddition() && !isListed(list_, *oldId_)) {
    return makeError(ErrorCode::NotFound, oldId_->address + ": is not a member");
  }
  if ((isAddition() || newId_ != oldId_) && isListed(list_, newId_)) {
    return makeError(ErrorCode::AlreadyExists, newId_.address + ": is a member with another disk");
  }
  return std::nullopt;
}

bool MemberReplacement::isAcknowledgedByMajority() const {
  std::size_t acknowledged = 0;
  bool joiningAcknowledged = !isListed(list_.acceptors, joining_);
  for (const MemberList::Member& member : list_.acceptors) {
    const auto found = acknowledgedBy_.find(member.id);
    if (found == acknowledgedBy_.end() || found->second != member.storeId) {
      continue;
    }
    ++acknowledged;
    joiningAcknowledged = joiningAcknowledged || member.id == newId_;
  }
  return joiningAcknowledged && acknowledged >= majorityOf(list_.acceptors.size());
}

void MemberReplacement::announceMembers() {
  isAnnouncing_ = true;
  startRequests();
}

void MemberReplacement::onMembersAcknowledged(const NodeId& from,
                                              const MembersAcknowledged& reply) {
  if (isFinished() || !isAnnouncing_ || reply.requestId != id_) {
    return;
  }
  acknowledgedBy_[from] = reply.storeId;
  if (!isAcknowledgedByMajority()) {
    return;
  }
  isAnnouncing_ = false;
  stopTimers();
  copyRegisters(0);
}

void MemberReplacement::copyRegisters(std::size_t index) {
  if (index == copyOrder().size()) {
    if (isMemberNow_) {
      finish(list_);
    } else {
      changeMembers();
    }
    return;
  }
  ProposalSpec spec;
  spec.registerName = copyOrder()[index];
  spec.recommit = true;
  spec.joiningMember = joining_;
  runProposal_(spec, [this, index](Result<ProposalOutcome> copied) {
    if (!copied) {
      finish(makeError(isMemberNow_ ? ErrorCode::OutcomeUnknown : copied.error().code,
                       newId_.address + ": could not copy all registers"));
      return;
    }
    copyRegisters(index + 1);
  });
}

void MemberReplacement::changeMembers() {
  if (isAddition()) {
    list_.acceptors.push_back(joining_);
  } else {
    replaceIn(list_.acceptors, *oldId_, joining_);
    replaceIn(list_.stores, *oldId_, joining_);
  }
  ChangeRequest change;
  change.registerName = kMembersRegister;
  change.baseVersion = baseVersion_;
  // The key must be the same in all releases: for an addition, the old address is empty.
  const std::string oldAddress = oldId_ ? oldId_->address : std::string();
  change.idempotencyKey = "replace " + oldAddress + " by " + newId_.address + " " +
                          joining_.storeId + " in " + std::to_string(baseVersion_);
  change.value = encodeRecord(list_);
  ProposalSpec spec;
  spec.registerName = kMembersRegister;
  spec.change = std::move(change);
  runProposal_(spec, [this](Result<ProposalOutcome> changed) {
    if (!changed) {
      finish(changed.error());
      return;
    }
    isMemberNow_ = true;
    baseVersion_ = changed.value().value.version;
    announceMembers();
  });
}

}  // namespace shedshed

#include "register/quorum_reader.h"

#include "register/acceptor.h"
#include "register/quorum.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Consecutive reads without agreement after which the register is recommitted. More than one,
/// since a change in progress looks the same.
constexpr int kReadsBeforeRepair = 2;

}  // namespace

void QuorumReader::start(std::map<std::string, std::uint64_t> known, Done done) {
  if (done_) {
    countDisagreements();
    Done abandoned = std::move(done_);
    done_ = nullptr;
    abandoned(makeError(ErrorCode::NoQuorum));
  }
  requestId_ = host_.context().random()();  // Differs from ids before a restart.
  members_ = host_.members();
  known_ = std::move(known);
  replies_.clear();
  done_ = std::move(done);
  const ReadRequest request{requestId_, members_.version, known_};
  for (const MemberList::Member& member : members_.list.acceptors) {
    host_.context().send(member.id, request);
  }
}

void QuorumReader::onReadReply(const NodeId& from, const ReadReply& reply) {
  if (!done_ || reply.requestId != requestId_) {
    return;
  }
  if (!isVoteOfAny(host_.safeguards(), members_.list.acceptors, from, reply.storeId)) {
    return;
  }
  if (reply.membersVersion > members_.version) {
    host_.membersOutdated(members_.version);
    return;
  }
  replies_[from] = reply;
  std::vector<NamedValue> values;
  for (const std::string& name : registerNames()) {
    const ReadRow* row = agreed(name);
    if (row == nullptr) {
      return;
    }
    if (row->version > known_[name]) {
      values.push_back({name, {row->version, row->value}});
    }
  }
  disagreements_.clear();
  Done done = std::move(done_);
  done_ = nullptr;
  done(std::move(values));
}

const ReadRow* QuorumReader::agreed(const std::string& registerName) const {
  std::map<Ballot, std::size_t> votes;
  for (const auto& entry : replies_) {
    for (const ReadRow& row : entry.second.rows) {
      if (row.registerName != registerName) {
        continue;
      }
      if (++votes[row.ballot] >= majorityOf(members_.list.acceptors.size())) {
        return &row;
      }
    }
  }
  return nullptr;
}

void QuorumReader::countDisagreements() {
  if (replies_.size() < majorityOf(members_.list.acceptors.size())) {
    return;
  }
  for (const std::string& name : registerNames()) {
    int& count = disagreements_[name];
    count = agreed(name) == nullptr ? count + 1 : 0;
    if (count >= kReadsBeforeRepair) {
      count = 0;
      repair_(name);
    }
  }
}

}  // namespace shedshed

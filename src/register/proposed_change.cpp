#include "register/proposed_change.h"

#include "kernel/rendezvous.h"

namespace shedshed {

namespace {

/// Hashes the base version and the content, which are the same in a resend.
std::uint64_t hashOfContent(const ChangeRequest& change) {
  std::string text = std::to_string(change.baseVersion);
  text.push_back('\n');
  text += change.content.empty() ? change.value : change.content;
  return hash64(text);
}

}  // namespace

ProposedChange::ProposedChange(ChangeRequest request)
    : request_(std::move(request)), keyDigest_(digestOf(request_.idempotencyKey)),
      contentHash_(hashOfContent(request_)) {}

ProposedChange::Verdict ProposedChange::evaluate(const PrepareReply& newest) const {
  if (newest.appliedVersion != 0) {
    return newest.appliedContentHash == contentHash_ ? Verdict::Applied : Verdict::KeyReused;
  }
  if (newest.accepted.version == request_.baseVersion) {
    return Verdict::Proposable;
  }
  // A change can only have produced the version after its base. If that entry was evicted from the
  // log, it is unknown whether this change produced it.
  const std::uint64_t produced = request_.baseVersion + 1;
  return produced < newest.firstLoggedVersion ? Verdict::Unknown : Verdict::Conflict;
}

AcceptedState ProposedChange::nextState(const AcceptedState& base, const Ballot& ballot) const {
  AcceptedState next;
  next.ballot = ballot;
  next.version = base.version + 1;
  next.value = request_.value;
  next.baseChain = base.version == 0 ? Digest{} : nextChain(base.baseChain, base.entry);
  next.entry = AppliedChange{keyDigest_, contentHash_};
  return next;
}

}  // namespace shedshed

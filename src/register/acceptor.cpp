#include "register/acceptor.h"

#include "kernel/rendezvous.h"
#include "register/member_lists.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Idempotency key of the first member list in the applied-change log.
constexpr const char* kFormationKey = "fleet formation";

}  // namespace

const std::vector<std::string>& registerNames() {
  static const std::vector<std::string> names = {kEnginesRegister, kMembersRegister,
                                                 kRetirementsRegister, kSettingsRegister};
  return names;
}

AcceptedState initialMembersState(const MemberList& members) {
  AcceptedState state;
  state.ballot = Ballot{1, 0};
  state.version = 1;
  state.value = encodeRecord(members);
  state.entry.keyDigest = digestOf(kFormationKey);
  state.entry.contentHash = hash64(state.value);
  return state;
}

Acceptor::Acceptor(CoreContext& context, SyncedOutbox& outbox, const RegisterOptions& options)
    : context_(context), outbox_(outbox), options_(options) {
  for (const std::string& name : registerNames()) {
    registers_.emplace(name, name);
  }
}

Status Acceptor::load() {
  for (auto& entry : registers_) {
    const Status status = entry.second.load(context_.records());
    if (!status) {
      return status;
    }
  }
  return okStatus();
}

AcceptorRegister* Acceptor::find(const std::string& name) {
  const auto found = registers_.find(name);
  return found == registers_.end() ? nullptr : &found->second;
}

const AcceptorRegister& Acceptor::membersRegister() const {
  return registers_.at(kMembersRegister);
}

std::uint64_t Acceptor::membersVersion() const {
  return membersRegister().accepted().version;
}

bool Acceptor::mayVote() const {
  return membersVersion() > 0 || !options_.safeguards.storeIdCheck;
}

std::uint64_t Acceptor::initialMembersHash() const {
  const AppliedChange* first = membersRegister().log().at(1);
  return first == nullptr ? 0 : first->contentHash;
}

bool Acceptor::isStale(const std::string& name, std::uint64_t membersVersion) const {
  const std::uint64_t newestAllowed =
      name == kMembersRegister ? membersVersion + 1 : membersVersion;
  return this->membersVersion() > newestAllowed;
}

void Acceptor::prepare(const NodeId& from, const PrepareRequest& request) {
  AcceptorRegister* target = find(request.registerName);
  if (target == nullptr || !mayVote()) {
    return;
  }
  PrepareReply reply;
  reply.registerName = request.registerName;
  reply.ballot = request.ballot;
  reply.storeId = options_.storeId;
  reply.membersVersion = membersVersion();
  if (isStale(request.registerName, request.membersVersion)) {
    reply.verdict = AcceptorVerdict::StaleMembers;
  } else if (request.ballot < target->promised()) {
    reply.verdict = AcceptorVerdict::BallotTooLow;
  } else {
    target->promise(request.ballot, outbox_);
    fillPromise(*target, request, reply);
  }
  reply.promised = target->promised();
  outbox_.send(from, reply);
}

void Acceptor::fillPromise(const AcceptorRegister& target, const PrepareRequest& request,
                           PrepareReply& reply) const {
  reply.accepted = target.accepted();
  reply.firstLoggedVersion = target.log().firstVersion();
  if (const auto version = target.log().versionOf(request.keyDigest)) {
    reply.appliedVersion = *version;
    reply.appliedContentHash = target.log().at(*version)->contentHash;
  }
}

void Acceptor::accept(const NodeId& from, const AcceptRequest& request) {
  AcceptorRegister* target = find(request.registerName);
  // A member list may be accepted by an empty disk: this is how it joins a fleet.
  const bool joins = request.registerName == kMembersRegister && request.state.version > 0;
  if (target == nullptr || (!mayVote() && !joins)) {
    return;
  }
  AcceptReply reply;
  reply.registerName = request.registerName;
  reply.ballot = request.state.ballot;
  reply.storeId = options_.storeId;
  reply.membersVersion = membersVersion();
  reply.verdict = decideAccept(*target, request);
  reply.promised = target->promised();
  if (reply.verdict == AcceptorVerdict::ChangeLogMissing) {
    outbox_.send(request.changeLogSource, target->fetchLog(request.state.version - 1));
  }
  outbox_.send(from, reply);
}

AcceptorVerdict Acceptor::decideAccept(AcceptorRegister& target, const AcceptRequest& request) {
  if (isStale(request.registerName, request.membersVersion)) {
    return AcceptorVerdict::StaleMembers;
  }
  if (request.state.ballot < target.promised()) {
    return AcceptorVerdict::BallotTooLow;
  }
  const bool isRepeated = target.accepted().ballot == request.state.ballot;
  if (isRepeated || target.accept(request.state, outbox_)) {
    return AcceptorVerdict::Granted;
  }
  return AcceptorVerdict::ChangeLogMissing;
}

void Acceptor::sendChangeLog(const NodeId& from, const ChangeLogRequest& request) {
  const AcceptorRegister* source = find(request.registerName);
  if (source == nullptr) {
    return;
  }
  const AppliedChangeLog& log = source->log();
  ChangeLogChunk chunk;
  chunk.registerName = request.registerName;
  chunk.firstVersion = log.firstVersion();
  chunk.fromVersion = std::max(request.fromVersion, chunk.firstVersion);
  const auto chain = log.chainAt(chunk.fromVersion - 1);
  if (!chain) {
    return;
  }
  chunk.chainBefore = *chain;
  chunk.entries = log.slice(chunk.fromVersion, request.upToVersion, kMaxChunkEntries);
  outbox_.send(from, chunk);
}

void Acceptor::addChangeLogChunk(const NodeId& from, const ChangeLogChunk& chunk) {
  AcceptorRegister* target = find(chunk.registerName);
  if (target == nullptr) {
    return;
  }
  if (const std::optional<ChangeLogRequest> next = target->addLogChunk(chunk)) {
    outbox_.send(from, *next);
  }
}

void Acceptor::read(const NodeId& from, const ReadRequest& request) {
  if (!mayVote()) {
    return;
  }
  ReadReply reply;
  reply.requestId = request.requestId;
  reply.storeId = options_.storeId;
  reply.membersVersion = membersVersion();
  for (const auto& entry : registers_) {
    const AcceptedState& accepted = entry.second.accepted();
    ReadRow row{entry.first, accepted.ballot, accepted.version, {}};
    const auto known = request.known.find(entry.first);
    if (known == request.known.end() || known->second < accepted.version) {
      row.value = accepted.value;
    }
    reply.rows.push_back(std::move(row));
  }
  outbox_.send(from, reply);
}

void Acceptor::sendIdentity(const NodeId& from, const IdentityRequest& request) {
  IdentityReply reply;
  reply.requestId = request.requestId;
  reply.storeId = options_.storeId;
  reply.membersVersion = membersVersion();
  reply.initialMembersHash = initialMembersHash();
  outbox_.send(from, reply);
}

bool Acceptor::form(const FormRequest& request) {
  const AcceptedState initial = initialMembersState(request.members);
  const MemberList::Member self{context_.self(), options_.storeId};
  const bool isMember = isListed(request.members.acceptors, self);
  const bool isEmpty = membersVersion() == 0 && initialMembersHash() == 0;
  if (isEmpty && isMember) {
    registers_.at(kMembersRegister).acceptInitial(initial, outbox_);
    context_.logEvent(TraceEvent("AcceptorFormed").field("store_id", options_.storeId));
  }
  return isMember && initialMembersHash() == initial.entry.contentHash;
}

}  // namespace shedshed

#include "register/acceptor.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Order id under which the first member list stands in the log.
constexpr const char* kFormationKey = "fleet formation";

std::string promisedKey(const std::string& name) {
  return "register/" + name + "/promised";
}

std::string acceptedKey(const std::string& name) {
  return "register/" + name + "/accepted";
}

std::string changeLogPrefix(const std::string& name) {
  return "register/" + name + "/ledger/";
}

/// Reads one record into @p target, which keeps its value if the record is absent.
template <class T>
Status readRecord(const RecordReader& records, const std::string& key, T& target) {
  Result<std::optional<std::string>> bytes = records.read(key);
  if (!bytes) {
    return bytes.error();
  }
  if (!bytes.value()) {
    return okStatus();
  }
  Result<T> decoded = decodeRecord<T>(*bytes.value());
  if (!decoded) {
    return makeError(ErrorCode::StorageCorrupt, key);
  }
  target = std::move(decoded).value();
  return okStatus();
}

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
    registers_[name];
  }
}

Status Acceptor::load() {
  const RecordReader& records = context_.records();
  for (auto& entry : registers_) {
    const std::string& name = entry.first;
    Register& loaded = entry.second;
    Status status = readRecord(records, promisedKey(name), loaded.promised);
    if (!status) {
      return status;
    }
    status = readRecord(records, acceptedKey(name), loaded.accepted);
    if (!status) {
      return status;
    }
    Result<AppliedChangeLog> log =
        AppliedChangeLog::load(records, changeLogPrefix(name), loaded.accepted.version);
    if (!log) {
      return log.error();
    }
    loaded.log = std::move(log).value();
  }
  return okStatus();
}

Acceptor::Register* Acceptor::find(const std::string& name) {
  const auto found = registers_.find(name);
  return found == registers_.end() ? nullptr : &found->second;
}

std::uint64_t Acceptor::membersVersion() const {
  return registers_.at(kMembersRegister).accepted.version;
}

bool Acceptor::mayVote() const {
  return membersVersion() > 0 || !options_.safeguards.storeIdCheck;
}

std::uint64_t Acceptor::initialMembersHash() const {
  const AppliedChange* first = registers_.at(kMembersRegister).log.at(1);
  return first == nullptr ? 0 : first->contentHash;
}

bool Acceptor::isStale(const std::string& name, std::uint64_t membersVersion) const {
  const std::uint64_t allowed = name == kMembersRegister ? membersVersion + 1 : membersVersion;
  return this->membersVersion() > allowed;
}

void Acceptor::prepare(const NodeId& from, const PrepareRequest& request) {
  Register* target = find(request.registerName);
  if (target == nullptr || !mayVote()) {
    return;
  }
  PrepareReply answer;
  answer.registerName = request.registerName;
  answer.ballot = request.ballot;
  answer.storeId = options_.storeId;
  answer.membersVersion = membersVersion();
  answer.promised = target->promised;
  if (isStale(request.registerName, request.membersVersion)) {
    answer.verdict = AcceptorVerdict::StaleMembers;
    outbox_.send(from, answer);
    return;
  }
  if (request.ballot < target->promised) {
    answer.verdict = AcceptorVerdict::Outranked;
    outbox_.send(from, answer);
    return;
  }
  if (target->promised < request.ballot) {
    target->promised = request.ballot;
    outbox_.persist({{promisedKey(request.registerName), encodeRecord(target->promised)}});
  }
  answer.promised = target->promised;
  answer.accepted = target->accepted;
  answer.firstLoggedVersion = target->log.firstVersion();
  if (const auto version = target->log.versionOf(request.keyDigest)) {
    answer.appliedVersion = *version;
    answer.appliedContentHash = target->log.at(*version)->contentHash;
  }
  outbox_.send(from, answer);
}

void Acceptor::accept(const NodeId& from, const AcceptRequest& request) {
  Register* target = find(request.registerName);
  const bool admits = request.registerName == kMembersRegister && request.state.version > 0;
  if (target == nullptr || (!mayVote() && !admits)) {
    return;
  }
  AcceptReply answer;
  answer.registerName = request.registerName;
  answer.ballot = request.state.ballot;
  answer.storeId = options_.storeId;
  answer.membersVersion = membersVersion();
  answer.promised = target->promised;
  if (isStale(request.registerName, request.membersVersion)) {
    answer.verdict = AcceptorVerdict::StaleMembers;
  } else if (request.state.ballot < target->promised) {
    answer.verdict = AcceptorVerdict::Outranked;
  } else if (target->accepted.ballot == request.state.ballot) {
    answer.verdict = AcceptorVerdict::Granted;  // The same request again.
  } else if (!completeChangeLog(*target, request.state)) {
    answer.verdict = AcceptorVerdict::ChangeLogMissing;
    fetchChangeLog(*target, request);
  } else {
    target->promised = request.state.ballot;
    target->accepted = request.state;
    persistAccepted(request.registerName, *target);
    answer.promised = target->promised;
  }
  outbox_.send(from, answer);
}

void Acceptor::persistAccepted(const std::string& name, Register& changed) {
  std::vector<Mutation> mutations = changed.log.takeMutations(changeLogPrefix(name));
  mutations.push_back({promisedKey(name), encodeRecord(changed.promised)});
  mutations.push_back({acceptedKey(name), encodeRecord(changed.accepted)});
  outbox_.persist(std::move(mutations));
}

bool Acceptor::completeChangeLog(Register& target, const AcceptedState& state) {
  if (state.version == 0) {
    target.log.truncate(0);
    return target.log.version() == 0;
  }
  const std::uint64_t base = state.version - 1;
  if (target.log.chainAt(base) != state.baseChain && target.staging) {
    AppliedChangeLog& staged = target.staging->log;
    if (staged.chainAt(base) == state.baseChain) {
      staged.supersede(target.log);
      target.log = std::move(staged);
      target.staging.reset();
    }
  }
  if (target.log.chainAt(base) != state.baseChain) {
    return false;
  }
  target.log.truncate(base);
  target.log.append(state.entry);
  target.staging.reset();
  return true;
}

void Acceptor::fetchChangeLog(Register& target, const AcceptRequest& request) {
  const std::uint64_t base = request.state.version - 1;
  if (!target.staging || target.staging->upToVersion != base) {
    // The newest local entry may be of a state that was never committed: fetch it again too.
    target.staging = std::make_unique<Staging>();
    target.staging->log = target.log;
    const std::uint64_t common = std::min(target.log.version(), base);
    target.staging->log.truncate(common == 0 ? 0 : common - 1);
    target.staging->upToVersion = base;
  }
  ChangeLogRequest fetch;
  fetch.registerName = request.registerName;
  fetch.fromVersion = target.staging->log.version() + 1;
  fetch.upToVersion = base;
  outbox_.send(request.changeLogSource, fetch);
}

void Acceptor::sendChangeLog(const NodeId& from, const ChangeLogRequest& request) {
  Register* source = find(request.registerName);
  if (source == nullptr) {
    return;
  }
  ChangeLogChunk part;
  part.registerName = request.registerName;
  part.firstVersion = source->log.firstVersion();
  part.fromVersion = std::max(request.fromVersion, part.firstVersion);
  const auto chain = source->log.chainAt(part.fromVersion - 1);
  if (!chain) {
    return;
  }
  part.chainBefore = *chain;
  part.entries = source->log.slice(part.fromVersion, request.upToVersion, kMaxChunkEntries);
  outbox_.send(from, part);
}

void Acceptor::addChangeLogChunk(const NodeId& from, const ChangeLogChunk& part) {
  Register* target = find(part.registerName);
  if (target == nullptr || !target->staging) {
    return;
  }
  Staging& staging = *target->staging;
  const bool skipsEvicted =
      part.fromVersion > staging.log.version() + 1 && part.fromVersion == part.firstVersion;
  if (skipsEvicted) {
    staging.log.restartAfter(part.fromVersion - 1, part.chainBefore);
  }
  if (part.fromVersion != staging.log.version() + 1) {
    return;
  }
  if (part.chainBefore != staging.log.chain()) {
    staging.log.restartAfter(0, Digest{});
  } else {
    for (const AppliedChange& entry : part.entries) {
      staging.log.append(entry);
    }
  }
  const bool progressed = part.chainBefore != staging.log.chain();
  if (progressed && staging.log.version() < staging.upToVersion) {
    outbox_.send(
        from, ChangeLogRequest{part.registerName, staging.log.version() + 1, staging.upToVersion});
  }
}

void Acceptor::read(const NodeId& from, const ReadRequest& request) {
  if (!mayVote()) {
    return;
  }
  ReadReply answer;
  answer.requestId = request.requestId;
  answer.storeId = options_.storeId;
  answer.membersVersion = membersVersion();
  for (const auto& entry : registers_) {
    const AcceptedState& accepted = entry.second.accepted;
    ReadRow row{entry.first, accepted.ballot, accepted.version, {}};
    const auto known = request.known.find(entry.first);
    if (known == request.known.end() || known->second < accepted.version) {
      row.value = accepted.value;
    }
    answer.rows.push_back(std::move(row));
  }
  outbox_.send(from, answer);
}

void Acceptor::sendIdentity(const NodeId& from, const IdentityRequest& request) {
  IdentityReply answer;
  answer.requestId = request.requestId;
  answer.storeId = options_.storeId;
  answer.membersVersion = membersVersion();
  answer.initialMembersHash = initialMembersHash();
  outbox_.send(from, answer);
}

bool Acceptor::form(const FormRequest& request) {
  const AcceptedState initial = initialMembersState(request.members);
  Register& members = registers_.at(kMembersRegister);
  const bool isListed =
      std::any_of(request.members.acceptors.begin(), request.members.acceptors.end(),
                  [this](const MemberList::Member& member) {
                    return member.id == context_.self() && member.storeId == options_.storeId;
                  });
  const bool isFresh = membersVersion() == 0 && initialMembersHash() == 0;
  if (isFresh && isListed) {
    members.promised = std::max(members.promised, initial.ballot);
    members.accepted = initial;
    members.log.append(initial.entry);
    persistAccepted(kMembersRegister, members);
    context_.logEvent(TraceEvent("AcceptorFormed").field("store_id", options_.storeId));
  }
  return isListed && initialMembersHash() == initial.entry.contentHash;
}

}  // namespace shedshed

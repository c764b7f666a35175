#include "register/acceptor.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Order id under which the first member list stands in the ledger.
constexpr const char* kFormationOrder = "fleet formation";

std::string promisedKey(const std::string& name) {
  return "register/" + name + "/promised";
}

std::string acceptedKey(const std::string& name) {
  return "register/" + name + "/accepted";
}

std::string ledgerPrefix(const std::string& name) {
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
  state.entry.order = digestOf(kFormationOrder);
  state.entry.content = hash64(state.value);
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
    Result<Ledger> ledger = Ledger::load(records, ledgerPrefix(name), loaded.accepted.version);
    if (!ledger) {
      return ledger.error();
    }
    loaded.ledger = std::move(ledger).value();
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

std::uint64_t Acceptor::initialContent() const {
  const LedgerEntry* first = registers_.at(kMembersRegister).ledger.at(1);
  return first == nullptr ? 0 : first->content;
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
  PrepareAnswer answer;
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
  answer.ledgerFirst = target->ledger.firstVersion();
  if (const auto version = target->ledger.versionOf(request.order)) {
    answer.orderVersion = *version;
    answer.orderContent = target->ledger.at(*version)->content;
  }
  outbox_.send(from, answer);
}

void Acceptor::accept(const NodeId& from, const AcceptRequest& request) {
  Register* target = find(request.registerName);
  const bool admits = request.registerName == kMembersRegister && request.state.version > 0;
  if (target == nullptr || (!mayVote() && !admits)) {
    return;
  }
  AcceptAnswer answer;
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
  } else if (!completeLedger(*target, request.state)) {
    answer.verdict = AcceptorVerdict::NeedLedger;
    fetchLedger(*target, request);
  } else {
    target->promised = request.state.ballot;
    target->accepted = request.state;
    persistAccepted(request.registerName, *target);
    answer.promised = target->promised;
  }
  outbox_.send(from, answer);
}

void Acceptor::persistAccepted(const std::string& name, Register& changed) {
  std::vector<Mutation> mutations = changed.ledger.takeMutations(ledgerPrefix(name));
  mutations.push_back({promisedKey(name), encodeRecord(changed.promised)});
  mutations.push_back({acceptedKey(name), encodeRecord(changed.accepted)});
  outbox_.persist(std::move(mutations));
}

bool Acceptor::completeLedger(Register& target, const AcceptedState& state) {
  if (state.version == 0) {
    target.ledger.truncate(0);
    return target.ledger.version() == 0;
  }
  const std::uint64_t base = state.version - 1;
  if (target.ledger.chainAt(base) != state.baseChain && target.staging) {
    Ledger& staged = target.staging->ledger;
    if (staged.chainAt(base) == state.baseChain) {
      staged.supersede(target.ledger);
      target.ledger = std::move(staged);
      target.staging.reset();
    }
  }
  if (target.ledger.chainAt(base) != state.baseChain) {
    return false;
  }
  target.ledger.truncate(base);
  target.ledger.append(state.entry);
  target.staging.reset();
  return true;
}

void Acceptor::fetchLedger(Register& target, const AcceptRequest& request) {
  const std::uint64_t base = request.state.version - 1;
  if (!target.staging || target.staging->upToVersion != base) {
    // The newest local entry may be of a state that was never committed: fetch it again too.
    target.staging = std::make_unique<Staging>();
    target.staging->ledger = target.ledger;
    const std::uint64_t common = std::min(target.ledger.version(), base);
    target.staging->ledger.truncate(common == 0 ? 0 : common - 1);
    target.staging->upToVersion = base;
  }
  LedgerRequest fetch;
  fetch.registerName = request.registerName;
  fetch.fromVersion = target.staging->ledger.version() + 1;
  fetch.upToVersion = base;
  outbox_.send(request.source, fetch);
}

void Acceptor::sendLedger(const NodeId& from, const LedgerRequest& request) {
  Register* source = find(request.registerName);
  if (source == nullptr) {
    return;
  }
  LedgerPart part;
  part.registerName = request.registerName;
  part.firstVersion = source->ledger.firstVersion();
  part.fromVersion = std::max(request.fromVersion, part.firstVersion);
  const auto chain = source->ledger.chainAt(part.fromVersion - 1);
  if (!chain) {
    return;
  }
  part.chainBefore = *chain;
  part.entries = source->ledger.slice(part.fromVersion, request.upToVersion, kLedgerPartEntries);
  outbox_.send(from, part);
}

void Acceptor::addLedger(const NodeId& from, const LedgerPart& part) {
  Register* target = find(part.registerName);
  if (target == nullptr || !target->staging) {
    return;
  }
  Staging& staging = *target->staging;
  const bool skipsEvicted =
      part.fromVersion > staging.ledger.version() + 1 && part.fromVersion == part.firstVersion;
  if (skipsEvicted) {
    staging.ledger.restartAfter(part.fromVersion - 1, part.chainBefore);
  }
  if (part.fromVersion != staging.ledger.version() + 1) {
    return;
  }
  if (part.chainBefore != staging.ledger.chain()) {
    staging.ledger.restartAfter(0, Digest{});
  } else {
    for (const LedgerEntry& entry : part.entries) {
      staging.ledger.append(entry);
    }
  }
  const bool progressed = part.chainBefore != staging.ledger.chain();
  if (progressed && staging.ledger.version() < staging.upToVersion) {
    outbox_.send(
        from, LedgerRequest{part.registerName, staging.ledger.version() + 1, staging.upToVersion});
  }
}

void Acceptor::read(const NodeId& from, const ReadRequest& request) {
  if (!mayVote()) {
    return;
  }
  ReadAnswer answer;
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
  IdentityAnswer answer;
  answer.requestId = request.requestId;
  answer.storeId = options_.storeId;
  answer.membersVersion = membersVersion();
  answer.initialContent = initialContent();
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
  const bool isFresh = membersVersion() == 0 && initialContent() == 0;
  if (isFresh && isListed) {
    members.promised = std::max(members.promised, initial.ballot);
    members.accepted = initial;
    members.ledger.append(initial.entry);
    persistAccepted(kMembersRegister, members);
    context_.logEvent(TraceEvent("AcceptorFormed").field("store_id", options_.storeId));
  }
  return isListed && initialContent() == initial.entry.content;
}

}  // namespace shedshed

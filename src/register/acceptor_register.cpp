#include "register/acceptor_register.h"

#include <algorithm>

namespace shedshed {

namespace {

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

Status AcceptorRegister::load(const RecordReader& records) {
  Status status = readRecord(records, promisedKey(name_), promised_);
  if (!status) {
    return status;
  }
  status = readRecord(records, acceptedKey(name_), accepted_);
  if (!status) {
    return status;
  }
  Result<AppliedChangeLog> log =
      AppliedChangeLog::load(records, changeLogPrefix(name_), accepted_.version);
  if (!log) {
    return log.error();
  }
  log_ = std::move(log).value();
  return okStatus();
}

void AcceptorRegister::promise(const Ballot& ballot, SyncedOutbox& outbox) {
  if (promised_ < ballot) {
    promised_ = ballot;
    outbox.persist({{promisedKey(name_), encodeRecord(promised_)}});
  }
}

bool AcceptorRegister::accept(const AcceptedState& state, SyncedOutbox& outbox) {
  if (!extendLog(state)) {
    return false;
  }
  promised_ = state.ballot;
  accepted_ = state;
  persistAccepted(outbox);
  return true;
}

void AcceptorRegister::acceptInitial(const AcceptedState& state, SyncedOutbox& outbox) {
  promised_ = std::max(promised_, state.ballot);
  accepted_ = state;
  log_.append(state.entry);
  persistAccepted(outbox);
}

void AcceptorRegister::persistAccepted(SyncedOutbox& outbox) {
  std::vector<Mutation> mutations = log_.takeMutations(changeLogPrefix(name_));
  mutations.push_back({promisedKey(name_), encodeRecord(promised_)});
  mutations.push_back({acceptedKey(name_), encodeRecord(accepted_)});
  outbox.persist(std::move(mutations));
}

bool AcceptorRegister::extendLog(const AcceptedState& state) {
  if (state.version == 0) {
    log_.truncate(0);
    return log_.version() == 0;
  }
  const std::uint64_t base = state.version - 1;
  if (log_.chainAt(base) != state.baseChain && fetch_ &&
      fetch_->log().chainAt(base) == state.baseChain) {
    log_ = fetch_->takeReplacing(log_);
    fetch_.reset();
  }
  if (log_.chainAt(base) != state.baseChain) {
    return false;
  }
  log_.truncate(base);
  log_.append(state.entry);
  fetch_.reset();
  return true;
}

ChangeLogRequest AcceptorRegister::fetchLog(std::uint64_t upToVersion) {
  if (!fetch_ || fetch_->upToVersion() != upToVersion) {
    fetch_.emplace(log_, upToVersion);
  }
  return fetch_->nextRequest(name_);
}

std::optional<ChangeLogRequest> AcceptorRegister::addLogChunk(const ChangeLogChunk& chunk) {
  if (!fetch_ || !fetch_->add(chunk)) {
    return std::nullopt;
  }
  return fetch_->nextRequest(name_);
}

}  // namespace shedshed

#include "partition/partition_replica.h"

#include <algorithm>
#include <utility>

namespace shedshed {

PartitionReplica::PartitionReplica(CoreContext& context, DurableWriter& writer,
                                   const PartitionOptions& options, const PartitionId& partition)
    : context_(context), writer_(writer), options_(options), partition_(partition),
      table_(context, partition) {}

void PartitionReplica::load() {
  startedAt_ = context_.now();
  const std::string key = partitionRecordPrefix(partition_) + "state";
  const Result<std::optional<std::string>> bytes = context_.records().read(key);
  const bool absent = bytes && !bytes.value();
  neverServed_ = absent;
  if (bytes && bytes.value()) {
    Result<ReplicaState> state = decodeRecord<ReplicaState>(*bytes.value());
    if (state) {
      state_ = std::move(state).value();
    } else {
      damaged_ = true;
    }
  }
  damaged_ = damaged_ || !bytes;
  if (!isDurable()) {
    state_.installedEpoch = 0;
    state_.sequence = 0;
    return;
  }
  table_.load();
  synced_ = {state_.installedEpoch, state_.sequence};
  if (table_.isDamaged()) {
    dropDamaged();
  }
}

bool PartitionReplica::isIntact() const {
  if (!options_.safeguards.emptyReplicaRule) {
    return true;
  }
  if (damaged_) {
    return false;
  }
  if (isDurable() || neverServed_ || state_.installedEpoch != 0) {
    return true;
  }
  return context_.now() - startedAt_ >= kMaxSlotTtl;
}

ReplicaPosition PartitionReplica::position() const {
  ReplicaPosition position;
  position.partition = partition_;
  position.promisedEpoch = state_.promisedEpoch;
  position.installedEpoch = isDurable() ? synced_.epoch : state_.installedEpoch;
  position.sequence = isDurable() ? synced_.sequence : state_.sequence;
  position.checksum = table_.checksum();
  position.checksumSequence = state_.sequence;
  if (damaged_) {
    position.installedEpoch = 0;
  }
  return position;
}

PromiseAnswer PartitionReplica::rejectPromise(std::uint64_t epoch) const {
  return makeAnswer(epoch, false);
}

void PartitionReplica::promise(std::uint64_t epoch, const NodeId& to,
                               std::function<void(PromiseAnswer)> done) {
  const bool availableToNode = state_.promisedTo == to || state_.promisedTo.empty();
  const bool repeated = epoch == state_.promisedEpoch && epoch != 0 && availableToNode;
  const bool allowed = epoch > state_.promisedEpoch || !options_.safeguards.fencing;
  if (!repeated && !allowed) {
    done(makeAnswer(epoch, false));
    return;
  }
  state_.promisedEpoch = std::max(epoch, state_.promisedEpoch);
  state_.promisedTo = to;
  persistWithState({}, [this, epoch, to, done = std::move(done)] {
    // A higher epoch may have been promised while this one was being synced.
    const bool granted = state_.promisedEpoch == epoch && state_.promisedTo == to;
    done(makeAnswer(epoch, granted || !options_.safeguards.fencing));
  });
}

void PartitionReplica::abandonOwnPromise() {
  if (state_.promisedTo == context_.self()) {
    state_.promisedTo = NodeId();
  }
}

bool PartitionReplica::accepts(std::uint64_t epoch, const NodeId& from) {
  if (!options_.safeguards.fencing) {
    return true;
  }
  if (epoch < state_.promisedEpoch) {
    return false;
  }
  if (epoch == state_.promisedEpoch && !state_.promisedTo.empty()) {
    return from == state_.promisedTo;
  }
  state_.promisedEpoch = epoch;
  state_.promisedTo = from;
  persistWithState({}, [] {});
  return true;
}

void PartitionReplica::install(const InstallRequest& request, InstallReply reply,
                               std::function<void(InstallReply)> answer) {
  if (!transfer_.beginOrContinue(request)) {
    return;
  }
  // A late promise answer may carry the checksum of rows that a restart has lost since.
  const bool differs = damaged_ || request.checksum != table_.checksum();
  if (request.keepRows && !transfer_.isComplete() && differs) {
    reply.differs = true;
    answer(std::move(reply));
    return;
  }
  std::vector<Mutation> mutations;
  if (transfer_.isNext(request.page)) {
    if (!request.keepRows) {
      table_.replaceRange(request.page, {request.epoch, request.sequence}, mutations);
    }
    transfer_.advance(request.page);
    // Only the last page raises the installed epoch, in the same atomic step as its rows. After a
    // crash before that the replica still counts for its earlier epoch, and never for this epoch
    // with an incomplete table.
    if (transfer_.isComplete()) {
      finishInstall(request.epoch, request.sequence, request.replicas);
    }
  }
  reply.last = transfer_.isComplete();
  reply.throughKey = transfer_.throughKey();
  persistWithState(std::move(mutations), [answer = std::move(answer), reply] { answer(reply); });
}

void PartitionReplica::replicate(const ReplicateRequest& request, std::function<void()> done) {
  if (state_.installedEpoch != request.epoch) {
    done();
    return;
  }
  std::vector<Mutation> mutations;
  std::uint64_t sequence = request.firstSequence;
  bool applied = false;
  for (const std::vector<VersionedRow>& write : request.writes) {
    if (sequence == state_.sequence + 1) {
      table_.merge(TablePage{true, {}, true, {}, write}, mutations);
      state_.sequence = sequence;
      applied = true;
    }
    ++sequence;
  }
  if (!applied || !isDurable()) {
    done();
    return;
  }
  persistWithState(std::move(mutations), std::move(done));
}

void PartitionReplica::applyTakeoverPage(const TablePage& page, std::uint64_t epoch, bool replace) {
  std::vector<Mutation> mutations;
  if (replace) {
    table_.replaceRange(page, {epoch, 0}, mutations);
  } else {
    table_.merge(page, mutations);
  }
  if (!mutations.empty()) {
    persistWithState(std::move(mutations), [] {});
  }
}

void PartitionReplica::installOwn(std::uint64_t epoch, const StoreMembers& replicas,
                                  std::function<void()> done) {
  finishInstall(epoch, 0, replicas);
  persistWithState({}, std::move(done));
}

void PartitionReplica::collectTombstones(std::uint64_t epoch, std::uint64_t stable) {
  const bool current = state_.installedEpoch == epoch && stable <= state_.sequence;
  if (stable == 0 || !current || table_.tombstones() == 0) {
    return;
  }
  std::vector<Mutation> mutations;
  table_.collectTombstones({epoch, stable}, mutations);
  if (!mutations.empty()) {
    persistWithState(std::move(mutations), [] {});
  }
}

void PartitionReplica::dropDamaged() {
  table_.dropDamaged();
  damaged_ = true;
}

PromiseAnswer PartitionReplica::makeAnswer(std::uint64_t epoch, bool granted) const {
  PromiseAnswer answer;
  answer.partition = partition_;
  answer.epoch = epoch;
  answer.promisedEpoch = state_.promisedEpoch;
  answer.granted = granted;
  answer.intact = isIntact();
  answer.installedEpoch = state_.installedEpoch;
  answer.checksum = table_.checksum();
  answer.rows = table_.liveRows();
  answer.replicaSetEpoch = state_.replicaSetEpoch;
  answer.replicas = state_.replicas;
  return answer;
}

void PartitionReplica::persistWithState(std::vector<Mutation> mutations,
                                        std::function<void()> done) {
  ReplicaState stored = state_;
  if (!isDurable()) {
    stored.installedEpoch = 0;
    stored.sequence = 0;
  }
  mutations.push_back({partitionRecordPrefix(partition_) + "state", encodeRecord(stored)});
  const Version reached{state_.installedEpoch, state_.sequence};
  writer_.persist(std::move(mutations), [this, reached, done = std::move(done)] {
    synced_ = std::max(synced_, reached);
    done();
  });
}

void PartitionReplica::finishInstall(std::uint64_t epoch, std::uint64_t sequence,
                                     const StoreMembers& replicas) {
  const bool sameEpoch = state_.installedEpoch == epoch;
  state_.sequence = sameEpoch ? std::max(state_.sequence, sequence) : sequence;
  state_.installedEpoch = epoch;
  state_.replicaSetEpoch = epoch;
  state_.replicas = replicas;
  damaged_ = false;
}

}  // namespace shedshed

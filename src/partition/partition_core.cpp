#include "partition/partition_core.h"

#include <algorithm>
#include <utility>

namespace shedshed {

namespace {

constexpr TimerId kTickTimer = 1;
constexpr TimerId kPersistRetryTimer = 2;

/// Returns a random first heartbeat number. Earlier incarnations of the process have most likely
/// not used it, so a late reply to one of them does not confirm ownership now.
std::uint64_t randomRound(RandomEngine& random) {
  return random() >> 1;
}

/// Answers to the items of one `PromiseRequest`. They are sent in one reply, once the last promise
/// is synced.
struct PendingPromiseReply {
  PromiseReply reply;
  std::size_t missing;
};

}  // namespace

PartitionCore::PartitionCore(CoreContext& context, const Directory& directory,
                             ConfigurationSource& configuration, PartitionOptions options)
    : context_(context), configuration_(configuration), options_(std::move(options)),
      stores_(directory, configuration, context.self(), options_.storeId),
      writer_(context, kPersistRetryTimer), metrics_(context) {
  for (const TableKind kind : {TableKind::Slots, TableKind::Batches}) {
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      const PartitionId id{kind, index};
      partitions_.try_emplace(id, context_, stores_, writer_, options_, id);
    }
  }
}

void PartitionCore::start() {
  heartbeatRound_ = randomRound(context_.random());
  for (auto& entry : partitions_) {
    entry.second.load();
  }
  context_.startTimer(kTickTimer, PartitionOptions::kTickInterval);
}

void PartitionCore::receive(const NodeId& from, const Message& message) {
  const auto handler = [this, &from](const auto& typed) { handle(from, typed); };
  dispatchMessage<PromiseRequest>(message, handler) ||
      dispatchMessage<PromiseReply>(message, handler) ||
      dispatchMessage<FetchRequest>(message, handler) ||
      dispatchMessage<FetchReply>(message, handler) ||
      dispatchMessage<InstallRequest>(message, handler) ||
      dispatchMessage<InstallReply>(message, handler) ||
      dispatchMessage<ReplicateRequest>(message, handler) ||
      dispatchMessage<ReplicateReply>(message, handler) ||
      dispatchMessage<HeartbeatRequest>(message, handler) ||
      dispatchMessage<HeartbeatReply>(message, handler);
}

void PartitionCore::timerExpired(TimerId timer) {
  if (timer == kPersistRetryTimer) {
    writer_.retry();
    return;
  }
  tick();
  context_.startTimer(kTickTimer, PartitionOptions::kTickInterval);
}

void PartitionCore::persisted(PersistId id, const Status& status) {
  writer_.persisted(id, status);
}

void PartitionCore::handle(const NodeId& from, const PromiseRequest& request) {
  const auto pending = std::make_shared<PendingPromiseReply>();
  pending->reply.storeId = options_.storeId;
  pending->missing = request.items.size();
  for (const PromiseItem& item : request.items) {
    LocalPartition* local = find(item.partition);
    if (local == nullptr) {
      --pending->missing;
      continue;
    }
    local->promise(from, item.epoch, [this, from, pending](PromiseAnswer answer) {
      pending->reply.answers.push_back(std::move(answer));
      if (--pending->missing == 0) {
        context_.send(from, pending->reply);
      }
    });
  }
}

void PartitionCore::handle(const NodeId& from, const PromiseReply& reply) {
  for (const PromiseAnswer& answer : reply.answers) {
    if (LocalPartition* local = find(answer.partition)) {
      local->receive(from, reply.storeId, answer);
    }
  }
}

void PartitionCore::handle(const NodeId& from, const FetchRequest& request) {
  if (LocalPartition* local = find(request.partition)) {
    local->receive(from, request);
  }
}

void PartitionCore::handle(const NodeId& from, const FetchReply& reply) {
  if (LocalPartition* local = find(reply.partition)) {
    local->receive(from, reply);
  }
}

void PartitionCore::handle(const NodeId& from, const InstallRequest& request) {
  if (LocalPartition* local = find(request.partition)) {
    local->receive(from, request);
  }
}

void PartitionCore::handle(const NodeId& from, const InstallReply& reply) {
  if (LocalPartition* local = find(reply.partition)) {
    local->receive(from, reply);
  }
}

void PartitionCore::handle(const NodeId& from, const ReplicateRequest& request) {
  if (LocalPartition* local = find(request.partition)) {
    local->receive(from, request);
  }
}

void PartitionCore::handle(const NodeId& from, const ReplicateReply& reply) {
  if (LocalPartition* local = find(reply.position.partition)) {
    local->receive(from, reply);
  }
}

void PartitionCore::handle(const NodeId& from, const HeartbeatRequest& request) {
  HeartbeatReply reply;
  reply.storeId = options_.storeId;
  reply.round = request.round;
  reply.isLowOnDiskSpace = context_.records().space().isScarce();
  for (const HeartbeatItem& item : request.items) {
    if (LocalPartition* local = find(item.partition)) {
      reply.positions.push_back(local->receive(from, item));
    }
  }
  context_.send(from, reply);
}

void PartitionCore::handle(const NodeId& from, const HeartbeatReply& reply) {
  for (const ReplicaPosition& position : reply.positions) {
    if (LocalPartition* local = find(position.partition)) {
      local->receive(from, reply, position);
    }
  }
}

void PartitionCore::setListener(TableKind kind, PartitionListener& listener) {
  for (auto& entry : partitions_) {
    if (entry.first.kind == kind) {
      entry.second.setListener(listener);
    }
  }
}

bool PartitionCore::owns(const PartitionId& partition) const {
  return findServed(partition) != nullptr;
}

std::uint64_t PartitionCore::epoch(const PartitionId& partition) const {
  const LocalPartition* served = findServed(partition);
  return served == nullptr ? 0 : served->epoch();
}

NodeId PartitionCore::ownerHint(const PartitionId& partition) const {
  if (owns(partition)) {
    return context_.self();
  }
  const LocalPartition* local = find(partition);
  return local == nullptr ? NodeId() : local->ownerHint();
}

bool PartitionCore::canAcceptNewData(const PartitionId& partition) const {
  const LocalPartition* served = findServed(partition);
  return served != nullptr && served->canAcceptNewData();
}

void PartitionCore::write(const PartitionId& partition, std::vector<TableEntry> entries,
                          std::function<void(Status)> done) {
  LocalPartition* served = findServed(partition);
  if (served == nullptr) {
    context_.defer([done = std::move(done)] { done(makeError(ErrorCode::NotOwner)); });
    return;
  }
  served->write(std::move(entries), std::move(done));
}

void PartitionCore::confirmOwnership(const PartitionId& partition,
                                     std::function<void(Status)> done) {
  LocalPartition* served = findServed(partition);
  if (served == nullptr) {
    context_.defer([done = std::move(done)] { done(makeError(ErrorCode::NotOwner)); });
    return;
  }
  // A reply to an earlier heartbeat may be older than this call, and a successor may have taken
  // over in between. Only replies to the next heartbeat prove the ownership after the call.
  served->confirmOwnership(heartbeatRound_ + 1, std::move(done));
  scheduleConfirmations();
}

std::optional<std::string> PartitionCore::get(const PartitionId& partition,
                                              std::string_view key) const {
  const LocalPartition* served = findServed(partition);
  return served == nullptr ? std::nullopt : served->table().value(std::string(key));
}

void PartitionCore::forEach(
    const PartitionId& partition, std::string_view prefix,
    const std::function<bool(std::string_view key, const std::string& value)>& visit) const {
  const LocalPartition* served = findServed(partition);
  if (served != nullptr) {
    served->table().forEach(prefix, visit);
  }
}

std::size_t PartitionCore::ownedPartitions() const {
  return static_cast<std::size_t>(
      std::count_if(partitions_.begin(), partitions_.end(),
                    [](const auto& entry) { return entry.second.isServing(); }));
}

bool PartitionCore::ownershipTransferred() const {
  return std::none_of(partitions_.begin(), partitions_.end(), [this](const auto& entry) {
    return entry.second.isServing() && hasSuccessor(entry.first);
  });
}

bool PartitionCore::hasSuccessor(const PartitionId& partition) const {
  const StoreMembers replicas = stores_.replicas(partition);
  return std::any_of(replicas.begin(), replicas.end(), [this](const auto& member) {
    return member.id != context_.self() && stores_.isLive(member) && !stores_.isDraining(member.id);
  });
}

RepairProgress PartitionCore::repairProgress() const {
  RepairProgress progress;
  progress.isMember = stores_.selfIsMember();
  for (const auto& entry : partitions_) {
    if (!stores_.selfReplicates(entry.first)) {
      continue;
    }
    ++progress.total;
    if (!entry.second.isCaughtUp()) {
      continue;
    }
    ++progress.caughtUp;
    progress.countedAsReplica += entry.second.isCountedAsReplica() ? 1 : 0;
  }
  return progress;
}

LocalPartition* PartitionCore::find(const PartitionId& partition) {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? nullptr : &found->second;
}

const LocalPartition* PartitionCore::find(const PartitionId& partition) const {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? nullptr : &found->second;
}

LocalPartition* PartitionCore::findServed(const PartitionId& partition) {
  LocalPartition* local = find(partition);
  return local != nullptr && local->isServing() ? local : nullptr;
}

const LocalPartition* PartitionCore::findServed(const PartitionId& partition) const {
  const LocalPartition* local = find(partition);
  return local != nullptr && local->isServing() ? local : nullptr;
}

bool PartitionCore::mayOwn() const {
  return stores_.selfIsMember() &&
         context_.now() - kMaxConfigurationStaleness < configuration_.freshUntil();
}

void PartitionCore::tick() {
  for (auto& entry : partitions_) {
    entry.second.tick(mayOwn());
  }
  sendPromiseRequests();
  if (context_.now() - lastHeartbeatAt_ >= PartitionOptions::kHeartbeatInterval) {
    lastHeartbeatAt_ = context_.now();
    sendHeartbeats(false);
    metrics_.publish(ownedPartitions(), repairProgress());
  }
}

void PartitionCore::sendPromiseRequests() {
  std::map<NodeId, PromiseRequest> requests;
  for (auto& entry : partitions_) {
    for (const NodeId& node : entry.second.promiseTargets()) {
      requests[node].items.push_back({entry.first, entry.second.takeoverEpoch()});
    }
  }
  for (const auto& entry : requests) {
    context_.send(entry.first, entry.second);
  }
}

void PartitionCore::sendHeartbeats(bool onlyConfirmations) {
  ++heartbeatRound_;
  std::map<NodeId, HeartbeatRequest> requests;
  for (auto& entry : partitions_) {
    if (onlyConfirmations && !entry.second.isConfirming()) {
      continue;
    }
    const std::optional<HeartbeatItem> item = entry.second.heartbeat();
    if (!item) {
      continue;
    }
    for (const NodeId& peer : stores_.peers(entry.first)) {
      requests[peer].items.push_back(*item);
    }
  }
  for (auto& entry : requests) {
    entry.second.round = heartbeatRound_;
    context_.send(entry.first, entry.second);
  }
}

void PartitionCore::scheduleConfirmations() {
  if (confirmationScheduled_) {
    return;
  }
  confirmationScheduled_ = true;
  context_.defer([this] {
    confirmationScheduled_ = false;
    sendHeartbeats(true);
  });
}

}  // namespace shedshed

#include "partition/local_partition.h"

#include <algorithm>
#include <utility>

namespace shedshed {

LocalPartition::LocalPartition(CoreContext& context, const StoreSet& stores, DurableWriter& writer,
                               const PartitionOptions& options, const PartitionId& partition)
    : context_(context), stores_(stores), options_(options),
      replica_(context, writer, options, partition), policy_(stores, context.self(), partition),
      monitor_(context, partition) {}

void LocalPartition::load() {
  replica_.load();
  knownOwner_.start(context_.now());
}

bool LocalPartition::isServing() const {
  return owner_ && announced_ && !owner_->isLost() && !replica_.table().isDamaged();
}

NodeId LocalPartition::ownerHint() const {
  const std::optional<KnownOwner::Owner>& owner = knownOwner_.owner();
  const bool usable = owner && knownOwner_.isWithinHeartbeatTimeout(context_.now()) &&
                      stores_.isReachable(owner->node);
  return usable ? owner->node : NodeId();
}

bool LocalPartition::canAcceptNewData() const {
  return !context_.records().space().isScarce() && !owner_->isReplicaLowOnDiskSpace();
}

bool LocalPartition::isCaughtUp() const {
  if (isServing()) {
    return true;
  }
  const ReplicaPosition position = replica_.position();
  const std::optional<KnownOwner::Owner>& owner = knownOwner_.owner();
  return owner && knownOwner_.isWithinHeartbeatTimeout(context_.now()) &&
         position.installedEpoch == owner->epoch &&
         position.sequence >= knownOwner_.previousSequence();
}

bool LocalPartition::isCountedAsReplica() const {
  const ReplicaState& state = replica_.state();
  const bool counted = std::any_of(
      state.replicas.begin(), state.replicas.end(), [this](const MemberList::Member& member) {
        return member.id == context_.self() && member.storeId == options_.storeId;
      });
  return counted && state.replicaSetEpoch == state.installedEpoch;
}

void LocalPartition::write(std::vector<TableEntry> entries, std::function<void(Status)> done) {
  owner_->write(std::move(entries), std::move(done));
  scheduleRoleUpdate();
}

void LocalPartition::confirmOwnership(std::uint64_t round, std::function<void(Status)> done) {
  owner_->confirm(round, std::move(done));
}

std::optional<HeartbeatItem> LocalPartition::heartbeat() {
  if (!owner_) {
    return std::nullopt;
  }
  const HeartbeatItem item = owner_->heartbeat();
  replica_.collectTombstones(item.epoch, item.stable);
  return item;
}

std::vector<NodeId> LocalPartition::promiseTargets() {
  return takeover_ ? takeover_->promiseTargets() : std::vector<NodeId>();
}

void LocalPartition::promise(const NodeId& from, std::uint64_t epoch,
                             std::function<void(PromiseAnswer)> done) {
  const bool selfIsActive = owner_ && announced_ && !owner_->isLost();
  if (policy_.displacesActiveOwner(from, knownOwner_, selfIsActive, context_.now())) {
    done(replica_.rejectPromise(epoch));
  } else {
    replica_.promise(epoch, from, std::move(done));
  }
  scheduleRoleUpdate();
}

void LocalPartition::receive(const NodeId& from, const FetchRequest& request) {
  // The rows are fetched for a merge, which must see what this replica held when it promised.
  // Without the promise a lower epoch could still add writes that the merge would miss.
  const ReplicaState& state = replica_.state();
  const bool promised = state.promisedEpoch == request.epoch && state.promisedTo == from;
  if (!promised && options_.safeguards.fencing) {
    return;
  }
  FetchReply reply;
  reply.storeId = options_.storeId;
  reply.partition = request.partition;
  reply.epoch = request.epoch;
  reply.page = replica_.table().page(request.fromStart, request.afterKey);
  context_.send(from, reply);
}

void LocalPartition::receive(const NodeId& from, const InstallRequest& request) {
  InstallReply reply;
  reply.storeId = options_.storeId;
  reply.partition = request.partition;
  reply.epoch = request.epoch;
  reply.transfer = request.transfer;
  if (!replica_.accepts(request.epoch, from)) {
    reply.promisedEpoch = replica_.state().promisedEpoch;
    context_.send(from, reply);
    return;
  }
  ownerMessageAccepted(from, request.epoch);
  scheduleRoleUpdate();
  replica_.install(request, std::move(reply), [this, from](InstallReply complete) {
    // Read after the sync: if a higher epoch was promised meanwhile, the owner must not count this
    // replica.
    complete.promisedEpoch = replica_.state().promisedEpoch;
    context_.send(from, complete);
  });
}

void LocalPartition::receive(const NodeId& from, const ReplicateRequest& request) {
  const auto reply = [this, from, epoch = request.epoch](bool gap) {
    context_.send(from, ReplicateReply{options_.storeId, epoch, gap, replica_.position()});
  };
  if (!replica_.accepts(request.epoch, from)) {
    reply(false);
    return;
  }
  ownerMessageAccepted(from, request.epoch);
  scheduleRoleUpdate();
  const bool gap = request.firstSequence > replica_.state().sequence + 1;
  replica_.replicate(request, [reply, gap] { reply(gap); });
}

ReplicaPosition LocalPartition::receive(const NodeId& from, const HeartbeatItem& heartbeat) {
  if (replica_.accepts(heartbeat.epoch, from)) {
    ownerMessageAccepted(from, heartbeat.epoch);
    knownOwner_.heartbeatAccepted(heartbeat.sequence);
    replica_.collectTombstones(heartbeat.epoch, heartbeat.stable);
    scheduleRoleUpdate();
  }
  return replica_.position();
}

void LocalPartition::receive(const NodeId& from, const std::string& storeId,
                             const PromiseAnswer& answer) {
  highestEpoch_ = std::max(highestEpoch_, answer.promisedEpoch);
  if (takeover_) {
    takeover_->receive(from, storeId, answer);
  } else if (owner_) {
    owner_->receive(from, storeId, answer);
  }
  scheduleRoleUpdate();
}

void LocalPartition::receive(const NodeId& from, const FetchReply& reply) {
  if (takeover_) {
    takeover_->receive(from, reply);
    scheduleRoleUpdate();
  }
}

void LocalPartition::receive(const NodeId& from, const InstallReply& reply) {
  if (owner_) {
    owner_->receive(from, reply);
    scheduleRoleUpdate();
  }
}

void LocalPartition::receive(const NodeId& from, const ReplicateReply& reply) {
  if (owner_) {
    owner_->receive(from, reply);
    scheduleRoleUpdate();
  }
}

void LocalPartition::receive(const NodeId& from, const HeartbeatReply& reply,
                             const ReplicaPosition& position) {
  if (owner_) {
    owner_->receive(from, reply, position);
    scheduleRoleUpdate();
  }
}

void LocalPartition::ownerMessageAccepted(const NodeId& from, std::uint64_t epoch) {
  highestEpoch_ = std::max(highestEpoch_, epoch);
  knownOwner_.messageAccepted(from, epoch, context_.now());
}

void LocalPartition::tick(bool mayOwn) {
  if (owner_) {
    owner_->tick();
  }
  if (takeover_) {
    takeover_->tick();
  }
  updateRole();
  if (!owner_ && replica_.table().isDamaged()) {
    replica_.dropDamaged();
  }
  considerTakeover(mayOwn);
  monitorTakeover();
}

void LocalPartition::scheduleRoleUpdate() {
  if (roleUpdateScheduled_) {
    return;
  }
  roleUpdateScheduled_ = true;
  context_.defer([this] {
    roleUpdateScheduled_ = false;
    updateRole();
  });
}

void LocalPartition::updateRole() {
  updateTakeover();
  updateOwner();
}

void LocalPartition::updateTakeover() {
  if (!takeover_) {
    return;
  }
  if (takeover_->state() == PartitionTakeover::State::Done) {
    beginOwnership();
    return;
  }
  if (takeover_->state() == PartitionTakeover::State::Rejected) {
    highestEpoch_ = std::max(highestEpoch_, takeover_->rejectedBy().value_or(0));
    abandonTakeover();
    std::uniform_int_distribution<std::int64_t> backoff(0, toMilliseconds(kMaxTakeoverBackoff));
    // A heartbeat of the owner that rejected the takeover arrives within the fixed part of the
    // delay.
    retryTakeoverAt_ = context_.now() + PartitionOptions::kHeartbeatInterval +
                       PartitionOptions::kTickInterval +
                       std::chrono::milliseconds(backoff(context_.random()));
  }
}

void LocalPartition::updateOwner() {
  if (!owner_) {
    return;
  }
  if (owner_->isLost() || replica_.table().isDamaged()) {
    loseOwnership();
    return;
  }
  owner_->complete();
  if (owner_ && owner_->isServing() && !announced_) {
    announced_ = true;
    context_.counters().add("partition_takeovers_total");
    if (listener_ != nullptr) {
      listener_->ownershipGained(id(), owner_->epoch(), owner_->recovery());
    }
  }
}

void LocalPartition::considerTakeover(bool mayOwn) {
  if (!mayOwn) {
    abandonTakeover();
    if (owner_) {
      loseOwnership();
    }
    return;
  }
  if (owner_) {
    if (replicasChanged()) {
      loseOwnership();
    }
    return;
  }
  const Time now = context_.now();
  const bool wanted = policy_.shouldTakeOver(knownOwner_, replica_.position().installedEpoch, now);
  const bool promising = takeover_ && takeover_->state() == PartitionTakeover::State::Promising;
  if (promising && !wanted) {
    abandonTakeover();
  }
  if (!takeover_ && wanted && now >= retryTakeoverAt_) {
    beginTakeover();
  }
}

void LocalPartition::beginTakeover() {
  // Above every epoch that this node has promised or knows of, so that replicas can grant it. The
  // promise to itself is synced before the epoch is sent to any node: after a crash before the sync
  // the epoch is unused, after a later one the next attempt chooses a higher epoch.
  highestEpoch_ = std::max(highestEpoch_, replica_.state().promisedEpoch) + 1;
  takeover_ = std::make_unique<PartitionTakeover>(context_, stores_, replica_, options_,
                                                  highestEpoch_, [this] { scheduleRoleUpdate(); });
  takeover_->begin();
}

void LocalPartition::abandonTakeover() {
  if (takeover_) {
    takeover_.reset();
    replica_.abandonOwnPromise();
  }
}

void LocalPartition::beginOwnership() {
  const TakeoverOutcome outcome = takeover_->outcome();
  takeover_.reset();
  announced_ = false;
  if (outcome.recovery == RecoveryKind::MemoryLost) {
    context_.counters().add("partition_memory_lost_total");
  }
  owner_ = std::make_unique<PartitionOwner>(context_, stores_, replica_, options_, outcome,
                                            [this] { scheduleRoleUpdate(); });
  owner_->begin();
}

void LocalPartition::loseOwnership() {
  highestEpoch_ = std::max(highestEpoch_, owner_->rejectedBy().value_or(0));
  // Detached before any callback runs, so that a callback that writes again finds no owner.
  const std::unique_ptr<PartitionOwner> owner = std::move(owner_);
  const bool announced = std::exchange(announced_, false);
  retryTakeoverAt_ = context_.now() + PartitionOptions::kRetransmitTimeout;
  if (replica_.table().isDamaged()) {
    replica_.dropDamaged();
  }
  context_.counters().add("partition_ownership_lost_total");
  // The writes may be on a majority already, or reach one through the next owner's merge, so the
  // callers cannot know their outcome.
  for (const std::function<void(Status)>& done : owner->takeOutstanding()) {
    done(makeError(ErrorCode::NotOwner,
                   "this node lost the ownership of the partition before the request completed"));
  }
  if (announced && listener_ != nullptr) {
    listener_->ownershipLost(id());
  }
}

bool LocalPartition::replicasChanged() const {
  const auto same = [](const MemberList::Member& left, const MemberList::Member& right) {
    return left.id == right.id && left.storeId == right.storeId;
  };
  const StoreMembers& owned = owner_->members();
  const StoreMembers present = stores_.replicas(id());
  return !std::equal(owned.begin(), owned.end(), present.begin(), present.end(), same);
}

void LocalPartition::monitorTakeover() {
  const bool inProgress = takeover_ || (owner_ && !announced_);
  if (!inProgress) {
    monitor_.noTakeoverInProgress(highestEpoch_, announced_);
    return;
  }
  monitor_.takeoverInProgress(
      highestEpoch_, [this] { return takeover_ ? takeover_->progress() : owner_->progress(); });
}

}  // namespace shedshed

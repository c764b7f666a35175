#include "partition/partition_core.h"

#include <algorithm>
#include <utility>

namespace shedshed {

namespace {

constexpr TimerId kTickTimer = 1;
constexpr TimerId kPersistRetryTimer = 2;

/// Time without any owner after which a store tries to take over although another one, which is
/// believed to be live, comes before it in the order; once for each such store.
constexpr Duration kCandidatePatience = std::chrono::seconds(5);

/// Longest time that a hand-back waits for this replica to be brought up to date by the owner.
constexpr Duration kHandBackLimit = std::chrono::seconds(30);

/// Returns a first heartbeat number that an earlier life of the process has hardly used.
std::uint64_t randomRound(RandomEngine& random) {
  return random() >> 1;
}

}  // namespace

PartitionCore::PartitionCore(CoreContext& context, const Directory& directory,
                             ConfigurationSource& configuration, PartitionOptions options)
    : context_(context), configuration_(configuration), options_(std::move(options)),
      stores_(directory, configuration, context.self(), options_.storeId),
      writer_(context, kPersistRetryTimer) {
  for (const TableKind kind : {TableKind::Slots, TableKind::Batches}) {
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      const PartitionId id{kind, index};
      places_.try_emplace(id, context_, writer_, options_, id);
    }
  }
}

void PartitionCore::start() {
  startedAt_ = context_.now();
  round_ = randomRound(context_.random());
  for (auto& entry : places_) {
    entry.second.replica.load();
    entry.second.heardAt = startedAt_;
  }
  context_.startTimer(kTickTimer, kPartitionTick);
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
  context_.startTimer(kTickTimer, kPartitionTick);
}

void PartitionCore::persisted(PersistId id, const Status& status) {
  writer_.persisted(id, status);
}

void PartitionCore::setListener(TableKind kind, PartitionListener& listener) {
  listeners_[kind] = &listener;
}

bool PartitionCore::owns(const PartitionId& partition) const {
  return served(partition) != nullptr;
}

std::uint64_t PartitionCore::epoch(const PartitionId& partition) const {
  const Place* place = served(partition);
  return place == nullptr ? 0 : place->owner->epoch();
}

NodeId PartitionCore::ownerHint(const PartitionId& partition) const {
  if (owns(partition)) {
    return context_.self();
  }
  const Place* place = find(partition);
  const bool recent = place != nullptr && context_.now() - place->heardAt < kOwnershipSilence;
  return recent && stores_.isReachable(place->heardOwner) ? place->heardOwner : NodeId();
}

bool PartitionCore::takesNewData(const PartitionId& partition) const {
  const Place* place = served(partition);
  return place != nullptr && !context_.records().space().isScarce() &&
         !place->owner->replicaIsScarce();
}

void PartitionCore::write(const PartitionId& partition, std::vector<TableEntry> entries,
                          std::function<void(Status)> done) {
  if (!owns(partition)) {
    context_.defer([done = std::move(done)] { done(makeError(ErrorCode::NotOwner)); });
    return;
  }
  find(partition)->owner->write(std::move(entries), std::move(done));
  scheduleReview(partition);
}

void PartitionCore::confirmOwnership(const PartitionId& partition,
                                     std::function<void(Status)> done) {
  if (!owns(partition)) {
    context_.defer([done = std::move(done)] { done(makeError(ErrorCode::NotOwner)); });
    return;
  }
  find(partition)->owner->confirm(round_ + 1, std::move(done));
  if (!confirmationScheduled_) {
    confirmationScheduled_ = true;
    context_.defer([this] {
      confirmationScheduled_ = false;
      sendHeartbeats(true);
    });
  }
}

std::optional<std::string> PartitionCore::get(const PartitionId& partition,
                                              std::string_view key) const {
  const Place* place = served(partition);
  return place == nullptr ? std::nullopt : place->replica.table().value(std::string(key));
}

void PartitionCore::forEach(
    const PartitionId& partition, std::string_view prefix,
    const std::function<bool(std::string_view key, const std::string& value)>& visit) const {
  const Place* place = served(partition);
  if (place != nullptr) {
    place->replica.table().forEach(prefix, visit);
  }
}

PartitionCore::Place* PartitionCore::find(const PartitionId& partition) {
  const auto found = places_.find(partition);
  return found == places_.end() ? nullptr : &found->second;
}

const PartitionCore::Place* PartitionCore::find(const PartitionId& partition) const {
  const auto found = places_.find(partition);
  return found == places_.end() ? nullptr : &found->second;
}

const PartitionCore::Place* PartitionCore::served(const PartitionId& partition) const {
  const Place* place = find(partition);
  const bool serves = place != nullptr && place->owner && place->announced &&
                      !place->owner->lost() && !place->replica.table().damaged();
  return serves ? place : nullptr;
}

PartitionListener* PartitionCore::listener(const PartitionId& partition) const {
  const auto found = listeners_.find(partition.kind);
  return found == listeners_.end() ? nullptr : found->second;
}

void PartitionCore::scheduleReview(const PartitionId& partition) {
  Place* place = find(partition);
  if (place == nullptr || place->reviewScheduled) {
    return;
  }
  place->reviewScheduled = true;
  context_.defer([this, place] {
    place->reviewScheduled = false;
    review(*place);
  });
}

void PartitionCore::review(Place& place) {
  reviewTakeover(place);
  reviewOwner(place);
}

void PartitionCore::reviewTakeover(Place& place) {
  if (!place.takeover) {
    return;
  }
  if (place.takeover->state() == PartitionTakeover::State::Done) {
    beginOwning(place);
    return;
  }
  if (place.takeover->state() == PartitionTakeover::State::Refused) {
    place.highestEpoch = std::max(place.highestEpoch, place.takeover->refusedBy());
    dropTakeover(place);
    std::uniform_int_distribution<std::int64_t> pause(0, toMilliseconds(kTakeoverBackoff));
    // A heartbeat of the owner that refused arrives within the fixed part.
    place.tryAfter = context_.now() + kPartitionHeartbeat + kPartitionTick +
                     std::chrono::milliseconds(pause(context_.random()));
  }
}

void PartitionCore::reviewOwner(Place& place) {
  if (!place.owner) {
    return;
  }
  if (place.owner->lost() || place.replica.table().damaged()) {
    loseOwnership(place);
    return;
  }
  place.owner->complete();
  if (place.owner && place.owner->serving() && !place.announced) {
    place.announced = true;
    const PartitionId& id = place.replica.partition();
    context_.counters().add("partition_takeovers_total");
    if (PartitionListener* told = listener(id)) {
      told->ownershipGained(id, place.owner->epoch(), place.owner->recovery());
    }
  }
}

void PartitionCore::beginTakeover(Place& place) {
  const std::uint64_t promised = place.replica.state().promisedEpoch;
  place.highestEpoch = std::max(place.highestEpoch, promised) + 1;
  const PartitionId id = place.replica.partition();
  place.takeover =
      std::make_unique<PartitionTakeover>(context_, stores_, place.replica, options_,
                                          place.highestEpoch, [this, id] { scheduleReview(id); });
  place.takeover->begin();
}

void PartitionCore::dropTakeover(Place& place) {
  if (place.takeover) {
    place.takeover.reset();
    place.replica.abandonOwnPromise();
  }
}

void PartitionCore::beginOwning(Place& place) {
  const TakeoverOutcome outcome = place.takeover->outcome();
  const PartitionId id = place.replica.partition();
  place.takeover.reset();
  place.announced = false;
  if (outcome.recovery == RecoveryKind::MemoryLost) {
    context_.counters().add("partition_memory_lost_total");
  }
  place.owner = std::make_unique<PartitionOwner>(context_, stores_, place.replica, options_,
                                                 outcome, [this, id] { scheduleReview(id); });
  place.owner->begin();
}

void PartitionCore::loseOwnership(Place& place) {
  place.highestEpoch = std::max(place.highestEpoch, place.owner->refusedBy());
  const std::unique_ptr<PartitionOwner> owner = std::move(place.owner);
  const bool announced = std::exchange(place.announced, false);
  place.tryAfter = context_.now() + kPartitionRetransmit;
  if (place.replica.table().damaged()) {
    place.replica.dropDamaged();
  }
  context_.counters().add("partition_ownership_lost_total");
  for (const std::function<void(Status)>& done : owner->takeOutstanding()) {
    done(makeError(ErrorCode::NotOwner, "the partition has a newer owner"));
  }
  PartitionListener* told = listener(place.replica.partition());
  if (announced && told != nullptr) {
    told->ownershipLost(place.replica.partition());
  }
}

void PartitionCore::tick() {
  for (auto& entry : places_) {
    tickPlace(entry.second);
  }
  sendPromiseRequests();
  if (context_.now() - heartbeatAt_ >= kPartitionHeartbeat) {
    heartbeatAt_ = context_.now();
    sendHeartbeats(false);
    publishCounters();
  }
}

void PartitionCore::tickPlace(Place& place) {
  if (place.owner) {
    place.owner->tick();
  }
  if (place.takeover) {
    place.takeover->tick();
  }
  review(place);
  if (!place.owner && place.replica.table().damaged()) {
    place.replica.dropDamaged();
  }
  considerTakeover(place);
  reportSlowTakeover(place);
}

bool PartitionCore::mayOwn() const {
  return stores_.selfIsMember() && context_.now() - kStaleOwnership < configuration_.freshUntil();
}

void PartitionCore::considerTakeover(Place& place) {
  if (!mayOwn()) {
    dropTakeover(place);
    if (place.owner) {
      loseOwnership(place);
    }
    return;
  }
  if (place.owner) {
    const StoreMembers& held = place.owner->members();
    const auto same = [](const MemberList::Member& left, const MemberList::Member& right) {
      return left.id == right.id && left.storeId == right.storeId;
    };
    const StoreMembers now = stores_.replicas(place.replica.partition());
    if (!std::equal(held.begin(), held.end(), now.begin(), now.end(), same)) {
      loseOwnership(place);
    }
    return;
  }
  const std::vector<NodeId> order = stores_.liveOrder(place.replica.partition());
  const auto self = std::find(order.begin(), order.end(), context_.self());
  const auto rank = static_cast<std::size_t>(self - order.begin());
  if (rank != 0) {
    place.firstSince.reset();
  } else if (!place.firstSince) {
    place.firstSince = context_.now();
  }
  const bool wanted = self != order.end() && maySeize(place, rank);
  const bool promising =
      place.takeover && place.takeover->state() == PartitionTakeover::State::Promising;
  if (promising && !wanted) {
    dropTakeover(place);
  }
  if (!place.takeover && wanted && context_.now() >= place.tryAfter) {
    beginTakeover(place);
  }
}

bool PartitionCore::maySeize(Place& place, std::size_t rank) const {
  const Time now = context_.now();
  if (rank != 0) {
    return now - std::max(place.heardAt, startedAt_) >= kCandidatePatience * rank;
  }
  const bool working = place.heardEpoch != 0 && now - place.heardAt < kOwnerHeard &&
                       stores_.isReachable(place.heardOwner);
  if (!working) {
    return true;
  }
  const Duration first = now - *place.firstSince;
  const bool current = place.replica.position().installedEpoch == place.heardEpoch;
  // An owner that drains waits for this: the pause of its partition is the takeover alone.
  if (current && stores_.isDraining(place.heardOwner)) {
    return true;
  }
  return first >= kHandBackLimit || (first >= kHandBackSettle && current);
}

}  // namespace shedshed

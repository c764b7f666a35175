#include "partition/partition_owner.h"

#include <algorithm>
#include <utility>

namespace shedshed {

PartitionOwner::PartitionOwner(CoreContext& context, const StoreSet& stores,
                               PartitionReplica& replica, const PartitionOptions& options,
                               const TakeoverOutcome& outcome, std::function<void()> changed)
    : context_(context), stores_(stores), replica_(replica), options_(options), outcome_(outcome),
      changed_(std::move(changed)), source_{context_, replica_, outcome_,
                                            WriteLog(replica.table().checksum()),
                                            options.safeguards.fencing},
      quorum_(source_, peers_) {}

void PartitionOwner::begin() {
  // Until this is synced this node's replica counts for no majority. After a crash before the sync
  // the previously installed epoch is in force, and a later takeover merges the tables again.
  replica_.installOwn(outcome_.epoch, outcome_.replicas, whileAlive([this] {
                        quorum_.setSelfInstalled();
                        changed_();
                      }));
  addPeers();
  for (const auto& entry : outcome_.checksums) {
    const auto peer = peers_.find(entry.first);
    if (peer != peers_.end()) {
      peer->second.beginTransfer(entry.second);
    }
  }
}

bool PartitionOwner::isLost() const {
  const bool fenced = options_.safeguards.fencing &&
                      (rejectedBy_ || replica_.state().promisedEpoch > outcome_.epoch);
  return fenced || !quorum_.majorityRepliedWithin(PartitionOptions::kHeartbeatTimeout);
}

HeartbeatItem PartitionOwner::heartbeat() const {
  return {replica_.partition(), outcome_.epoch, source_.log.sequence(), stableSequence()};
}

ReplicateRequest PartitionOwner::nextWrite(std::vector<TableEntry> entries) const {
  const std::uint64_t sequence = source_.log.sequence() + 1;
  ReplicateRequest request{replica_.partition(), outcome_.epoch, sequence, {{}}};
  for (TableEntry& entry : entries) {
    const bool erased = !entry.value;
    request.writes[0].push_back({std::move(entry.key), Version{outcome_.epoch, sequence}, erased,
                                 erased ? std::string() : *std::move(entry.value)});
  }
  return request;
}

void PartitionOwner::write(std::vector<TableEntry> entries, std::function<void(Status)> done) {
  const ReplicateRequest request = nextWrite(std::move(entries));
  const std::uint64_t sequence = request.firstSequence;
  writes_.push_back({sequence, context_.now(), std::move(done)});
  replica_.replicate(request, whileAlive(changed_));
  std::vector<std::string> keys;
  for (const VersionedRow& row : request.writes[0]) {
    keys.push_back(row.key);
  }
  source_.log.append(std::move(keys), replica_.table().checksum());
  trimLog();
  const Message message = encodeMessage(request);
  for (auto& entry : peers_) {
    entry.second.sendWrite(sequence, message);
  }
}

void PartitionOwner::confirm(std::uint64_t round, std::function<void(Status)> done) {
  confirmations_.push_back({round, context_.now(), std::move(done)});
}

void PartitionOwner::receive(const NodeId& from, const std::string& storeId,
                             const PromiseAnswer& answer) {
  if (answer.epoch == outcome_.epoch) {
    replyFrom(from, storeId, answer.promisedEpoch).receive(answer);
  }
}

void PartitionOwner::receive(const NodeId& from, const InstallReply& reply) {
  if (reply.epoch == outcome_.epoch) {
    replyFrom(from, reply.storeId, reply.promisedEpoch).receive(reply);
  }
}

void PartitionOwner::receive(const NodeId& from, const ReplicateReply& reply) {
  if (reply.epoch == outcome_.epoch) {
    replyFrom(from, reply.storeId, reply.position.promisedEpoch).receive(reply);
  }
}

void PartitionOwner::receive(const NodeId& from, const HeartbeatReply& reply,
                             const ReplicaPosition& position) {
  replyFrom(from, reply.storeId, position.promisedEpoch).receive(reply, position);
}

ReplicaPeer& PartitionOwner::replyFrom(const NodeId& from, const std::string& storeId,
                                       std::uint64_t promisedEpoch) {
  ReplicaPeer& peer = peers_.try_emplace(from, source_, from).first->second;
  peer.replyReceived(storeId);
  if (promisedEpoch > outcome_.epoch) {
    // Another node may own the higher epoch already. A single replica's report is enough to step
    // down: this loses no data, and the next takeover of this node uses an epoch above it.
    rejectedBy_ = std::max(rejectedBy_.value_or(0), promisedEpoch);
  }
  return peer;
}

void PartitionOwner::addPeers() {
  std::vector<NodeId> nodes = stores_.peers(replica_.partition());
  // A majority of the previous replicas must install the epoch too, also if they are no longer
  // members.
  for (const MemberList::Member& member : outcome_.previous) {
    if (member.id != context_.self()) {
      nodes.push_back(member.id);
    }
  }
  for (const NodeId& node : nodes) {
    peers_.try_emplace(node, source_, node);
  }
}

void PartitionOwner::tick() {
  addPeers();
  for (auto& entry : peers_) {
    if (stores_.isReachable(entry.first)) {
      entry.second.tick();
    }
  }
  if (!serving_ && quorum_.isSelfInstalled()) {
    changed_();
  }
}

bool PartitionOwner::isComplete(const PendingWrite& write) const {
  if (!quorum_.majorityHolds(write.sequence)) {
    return false;
  }
  // A majority is sufficient for safety. While all replicas are healthy, the wait lets a durable
  // row reach every disk.
  const bool waitForAll = replica_.partition().kind == TableKind::Batches &&
                          stores_.allLiveAndNotDraining(outcome_.replicas) &&
                          context_.now() - write.begunAt < kAllReplicasTimeout;
  return !waitForAll || quorum_.allHold(write.sequence);
}

void PartitionOwner::complete() {
  if (!serving_ && quorum_.isSelfInstalled()) {
    // No reads before that: a merged row that is on a minority only could be read, and be absent
    // after the next takeover.
    serving_ = quorum_.installedOnMajorities() || !options_.safeguards.mergeWriteBack;
  }
  const std::weak_ptr<bool> alive = alive_;
  completeWrites();
  if (!alive.expired()) {
    completeConfirmations();
  }
}

void PartitionOwner::completeWrites() {
  const std::weak_ptr<bool> alive = alive_;
  while (!alive.expired() && !writes_.empty() && isComplete(writes_.front())) {
    const std::function<void(Status)> done = std::move(writes_.front().done);
    writes_.pop_front();
    done(okStatus());
  }
}

void PartitionOwner::completeConfirmations() {
  const std::weak_ptr<bool> alive = alive_;
  while (!alive.expired() && !confirmations_.empty()) {
    const PendingConfirmation& first = confirmations_.front();
    const bool confirmed = quorum_.majorityConfirms(first.round);
    if (!confirmed && context_.now() - first.begunAt < kConfirmationTimeout) {
      return;
    }
    const std::function<void(Status)> done = std::move(confirmations_.front().done);
    confirmations_.pop_front();
    done(confirmed
             ? okStatus()
             : Status(makeError(ErrorCode::NoQuorum,
                                "no majority of the replicas confirmed the ownership in time")));
  }
}

std::vector<std::function<void(Status)>> PartitionOwner::takeOutstanding() {
  std::vector<std::function<void(Status)>> outstanding;
  for (PendingWrite& write : writes_) {
    outstanding.push_back(std::move(write.done));
  }
  for (PendingConfirmation& confirmation : confirmations_) {
    outstanding.push_back(std::move(confirmation.done));
  }
  writes_.clear();
  confirmations_.clear();
  return outstanding;
}

std::uint64_t PartitionOwner::stableSequence() const {
  // A replica that lacks the erasing write could restore the row, so all must hold that write.
  return serving_ && quorum_.allHold(0) ? quorum_.lowestSequence() : 0;
}

void PartitionOwner::trimLog() {
  std::uint64_t needed = source_.log.sequence();
  for (const auto& entry : peers_) {
    needed = std::min(needed, entry.second.transferSequence().value_or(needed));
  }
  source_.log.trim(needed);
}

std::function<void()> PartitionOwner::whileAlive(std::function<void()> step) const {
  return [alive = std::weak_ptr<bool>(alive_), step = std::move(step)] {
    if (!alive.expired()) {
      step();
    }
  };
}

}  // namespace shedshed

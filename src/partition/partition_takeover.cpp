#include "partition/partition_takeover.h"

#include <algorithm>
#include <utility>

namespace shedshed {

PartitionTakeover::PartitionTakeover(CoreContext& context, const StoreSet& stores,
                                     PartitionReplica& replica, const PartitionOptions& options,
                                     std::uint64_t epoch, std::function<void()> changed)
    : context_(context), stores_(stores), replica_(replica), options_(options),
      changed_(std::move(changed)), epoch_(epoch), promises_(stores.replicas(replica.partition())) {
}

void PartitionTakeover::begin() {
  const std::weak_ptr<bool> alive = alive_;
  replica_.promise(epoch_, context_.self(), [this, alive](const PromiseAnswer& answer) {
    if (!alive.expired()) {
      receive(context_.self(), options_.storeId, answer);
      changed_();
    }
  });
}

bool PartitionTakeover::selfPromised() const {
  return promises_.promises().count(context_.self()) != 0;
}

std::vector<NodeId> PartitionTakeover::promiseTargets() {
  const Time now = context_.now();
  const bool due = !requestedAt_ || now - *requestedAt_ >= PartitionOptions::kRetransmitTimeout;
  if (state_ != State::Promising || !selfPromised() || !due) {
    return {};
  }
  requestedAt_ = now;
  std::vector<NodeId> targets = promises_.missing();
  targets.erase(std::remove(targets.begin(), targets.end(), context_.self()), targets.end());
  return targets;
}

void PartitionTakeover::receive(const NodeId& from, const std::string& storeId,
                                const PromiseAnswer& answer) {
  if (answer.epoch != epoch_ || state_ != State::Promising) {
    return;
  }
  if (!answer.granted) {
    rejectedBy_ = std::max(rejectedBy_.value_or(0), answer.promisedEpoch);
    state_ = State::Rejected;
    return;
  }
  promises_.add(from, storeId, answer);
  evaluatePromises();
}

void PartitionTakeover::evaluatePromises() {
  if (!selfPromised() || !promises_.majoritiesPromised()) {
    return;
  }
  if (!promisedAt_) {
    promisedAt_ = context_.now();
  }
  if (promises_.majoritiesIntact()) {
    beginMerge(RecoveryKind::Complete);
  } else if (intactReplicasTimedOut()) {
    beginMerge(RecoveryKind::MemoryLost);
  }
}

bool PartitionTakeover::intactReplicasTimedOut() const {
  const Duration waited = context_.now() - *promisedAt_;
  if (replica_.partition().kind == TableKind::Batches) {
    return promises_.allPromised() || waited >= kDurableIntactReplicasTimeout;
  }
  return promises_.allLivePromised(stores_) || waited >= kIntactReplicasTimeout;
}

void PartitionTakeover::beginMerge(RecoveryKind recovery) {
  recovery_ = recovery;
  state_ = State::Merging;
  merge_.emplace(context_, replica_, promises_, epoch_);
  merge_->begin();
  finishIfMerged();
}

void PartitionTakeover::receive(const NodeId& from, const FetchReply& reply) {
  if (state_ == State::Merging) {
    merge_->receive(from, reply);
    finishIfMerged();
  }
}

void PartitionTakeover::finishIfMerged() {
  if (!merge_->isFinished()) {
    return;
  }
  if (replica_.partition().kind == TableKind::Slots && recovery_ == RecoveryKind::MemoryLost) {
    markLostMemory();
  }
  state_ = State::Done;
}

void PartitionTakeover::markLostMemory() {
  TablePage page;
  page.last = true;
  page.rows.push_back(VersionedRow{kRecoveringRow, Version{epoch_, 0}, false, ""});
  replica_.applyTakeoverPage(page, epoch_, false);
}

void PartitionTakeover::tick() {
  if (state_ == State::Promising) {
    evaluatePromises();
  }
  if (state_ == State::Merging) {
    merge_->tick();
    if (merge_->isTimedOut()) {
      state_ = State::Rejected;
    }
  }
}

TakeoverOutcome PartitionTakeover::outcome() const {
  TakeoverOutcome outcome;
  outcome.epoch = epoch_;
  outcome.recovery = recovery_;
  outcome.replicas = promises_.replicas();
  outcome.previous = promises_.previous();
  for (const auto& entry : promises_.promises()) {
    outcome.checksums[entry.first] = entry.second.answer.checksum;
  }
  return outcome;
}

std::string PartitionTakeover::progress() const {
  const std::size_t tablesLeft = merge_ ? merge_->tablesLeft() : 0;
  return std::string(state_ == State::Promising ? "awaiting promises" : "merging tables") + ": " +
         promises_.progress() + ", " + std::to_string(tablesLeft) + " tables to fetch";
}

}  // namespace shedshed

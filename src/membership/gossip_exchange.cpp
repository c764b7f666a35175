#include "membership/gossip_exchange.h"

#include "kernel/rendezvous.h"
#include "membership/incarnation.h"

#include <algorithm>

namespace shedshed {

namespace {

/// Moves @p count random elements to the front and drops the rest.
void keepRandom(std::vector<NodeId>& nodes, std::size_t count, RandomEngine& random) {
  if (nodes.size() <= count) {
    return;
  }
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(nodes[i], nodes[i + random() % (nodes.size() - i)]);
  }
  nodes.resize(count);
}

}  // namespace

GossipExchange::GossipExchange(CoreContext& context, GossipStore& store,
                               const DirectoryOptions& options,
                               std::function<std::set<NodeId>()> hidden,
                               std::function<std::vector<NodeId>()> livePeers,
                               std::function<void(const GossipVersion&)> ownRecordSeen)
    : context_(context), store_(store), options_(options), self_(context.self()),
      hidden_(std::move(hidden)), livePeers_(std::move(livePeers)),
      ownRecordSeen_(std::move(ownRecordSeen)) {}

bool GossipExchange::receive(const NodeId& from, const Message& message) {
  return dispatchMessage<CompareRequest>(
             message, [&](const CompareRequest& request) { onCompare(from, request); }) ||
         dispatchMessage<BucketHashes>(
             message, [&](const BucketHashes& hashes) { onBucketHashes(from, hashes); }) ||
         dispatchMessage<VectorReply>(message,
                                      [&](const VectorReply& reply) { onVector(from, reply); }) ||
         dispatchMessage<DeltaBatch>(message,
                                     [&](const DeltaBatch& batch) { onDeltas(from, batch); }) ||
         dispatchMessage<DeltaRequest>(
             message, [&](const DeltaRequest& request) { onDeltaRequest(from, request); });
}

void GossipExchange::compareWith(const std::vector<NodeId>& peers) {
  const CompareRequest request{vectorHash()};
  for (const NodeId& peer : peers) {
    context_.send(peer, request);
  }
}

void GossipExchange::forget(const NodeId& origin) {
  forgotten_[origin] = store_.version(origin);
  store_.erase(origin);
}

void GossipExchange::onCompare(const NodeId& from, const CompareRequest& request) {
  if (request.vectorHash == vectorHash()) {
    return;
  }
  context_.counters().add("directory_differences_found_total");
  // A short vector costs no more than the hashes of its buckets.
  if (store_.originCount() > kVectorBuckets) {
    context_.send(from, BucketHashes{store_.bucketHashes(hidden_())});
  } else {
    context_.send(from, VectorReply{store_.vector(hidden_())});
  }
}

void GossipExchange::onBucketHashes(const NodeId& from, const BucketHashes& theirs) {
  const std::vector<std::uint64_t> own = store_.bucketHashes(hidden_());
  if (theirs.hashes.size() != own.size()) {
    context_.counters().add("directory_refused_messages_total");
    return;
  }
  std::uint64_t differing = 0;
  for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
    if (own[bucket] != theirs.hashes[bucket]) {
      differing |= std::uint64_t{1} << bucket;
    }
  }
  if (differing != 0) {
    context_.send(from, VectorReply{store_.vector(hidden_(), differing), differing});
  }
}

void GossipExchange::onVector(const NodeId& from, const VectorReply& reply) {
  std::map<NodeId, GossipVersion> theirs;
  DeltaRequest wanted;
  for (const VectorEntry& entry : reply.entries) {
    theirs[entry.origin] = entry.version;
    if (entry.origin == self_) {
      ownRecordSeen_(entry.version);
    } else if (isNews(entry)) {
      wanted.since.push_back({entry.origin, store_.version(entry.origin)});
    }
  }
  std::vector<GossipDelta> missing;
  for (const VectorEntry& mine : store_.vector(hidden_(), reply.buckets)) {
    if (theirs[mine.origin] < mine.version) {
      missing.push_back(store_.deltaSince(mine.origin, theirs[mine.origin]));
    }
  }
  sendDeltas(from, std::move(missing));
  if (!wanted.since.empty()) {
    context_.send(from, wanted);
  }
}

bool GossipExchange::isNews(const VectorEntry& entry) const {
  const auto dropped = forgotten_.find(entry.origin);
  // A new run counts from 1 again when nobody remembers the one before; it is not the dead one.
  const bool alreadyForgotten = dropped != forgotten_.end() &&
                                sameRun(dropped->second.incarnation, entry.version.incarnation) &&
                                !(dropped->second < entry.version);
  return !alreadyForgotten && store_.version(entry.origin) < entry.version;
}

void GossipExchange::onDeltaRequest(const NodeId& from, const DeltaRequest& request) {
  std::vector<GossipDelta> deltas;
  for (const VectorEntry& wanted : request.since) {
    if (wanted.version < store_.version(wanted.origin)) {
      deltas.push_back(store_.deltaSince(wanted.origin, wanted.version));
    }
  }
  sendDeltas(from, std::move(deltas));
}

void GossipExchange::onDeltas(const NodeId& from, const DeltaBatch& batch) {
  newcomers_.clear();
  DeltaRequest gaps;
  for (const GossipDelta& delta : batch.deltas) {
    if (!applyDelta(from, delta, batch.spreads)) {
      gaps.since.push_back({delta.origin, store_.version(delta.origin)});
    }
  }
  if (!gaps.since.empty()) {
    context_.send(from, gaps);
  }
  introduceTo(newcomers_);
}

bool GossipExchange::applyDelta(const NodeId& from, const GossipDelta& delta, bool spreads) {
  const GossipVersion version{delta.incarnation, delta.toSequence};
  if (delta.origin == self_) {
    ownRecordSeen_(version);
    return true;
  }
  if (!isNews({delta.origin, version})) {
    return true;
  }
  const bool known = !(store_.version(delta.origin) == GossipVersion{});
  if (store_.apply(delta) == GossipStore::Outcome::Gap) {
    return false;
  }
  forgotten_.erase(delta.origin);
  if (!known && delta.origin != from) {
    newcomers_.push_back(delta.origin);
  }
  if (spreads) {
    passOn(delta);
  }
  return true;
}

/// A node that another one told of may not know this one yet. In a large fleet it learns this one
/// by the comparison with the node that told of it.
void GossipExchange::introduceTo(const std::vector<NodeId>& newcomers) {
  if (!isLargeFleet()) {
    spreadOwn(0, newcomers);
  }
}

void GossipExchange::passOn(const GossipDelta& delta) {
  if (!isLargeFleet()) {
    return;  // Its origin sent it to all.
  }
  pending_.push_back(delta);
  if (!forwardTimerRuns_) {
    forwardTimerRuns_ = true;
    context_.startTimer(forwardTimer_, Duration(1));
  }
}

void GossipExchange::forwardPending() {
  forwardTimerRuns_ = !pending_.empty();
  if (pending_.empty()) {
    return;
  }
  // The next changes wait for the pause, so that many of them share a message.
  context_.startTimer(forwardTimer_, options_.forwardPause);
  std::vector<NodeId> targets = livePeers_();
  keepRandom(targets, options_.forwardTargets, context_.random());
  const Message message = encodeMessage(DeltaBatch{std::move(pending_), true});
  pending_.clear();
  for (const NodeId& target : targets) {
    context_.send(target, message);
  }
}

void GossipExchange::spreadOwn(std::uint32_t sinceSequence, std::vector<NodeId> targets) {
  if (targets.empty()) {
    return;
  }
  keepRandom(targets, options_.directTargets, context_.random());
  const GossipVersion since{store_.version(self_).incarnation, sinceSequence};
  const Message message = encodeMessage(DeltaBatch{{store_.deltaSince(self_, since)}, true});
  for (const NodeId& target : targets) {
    context_.send(target, message);
  }
}

void GossipExchange::sendDeltas(const NodeId& to, std::vector<GossipDelta> deltas) {
  DeltaBatch batch;
  std::size_t bytes = 0;
  for (GossipDelta& delta : deltas) {
    for (const GossipRecord& record : delta.records) {
      bytes += record.topic.size() + record.bytes.size();
    }
    batch.deltas.push_back(std::move(delta));
    if (bytes >= options_.batchBytes) {
      context_.send(to, batch);
      batch.deltas.clear();
      bytes = 0;
    }
  }
  if (!batch.deltas.empty()) {
    context_.send(to, batch);
  }
}

std::uint64_t GossipExchange::vectorHash() const {
  return hash64(encodeRecord(store_.bucketHashes(hidden_())));
}

}  // namespace shedshed

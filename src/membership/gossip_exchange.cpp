#include "membership/gossip_exchange.h"

#include "kernel/rendezvous.h"
#include "membership/incarnation.h"
#include "membership/random_selection.h"

#include <utility>

namespace shedshed {

GossipExchange::GossipExchange(CoreContext& context, GossipRecordStore& store,
                               const DirectoryOptions& options, Delegate& delegate,
                               TimerId forwardTimer)
    : context_(context), store_(store), options_(options), delegate_(delegate),
      self_(context.self()), forwarder_(context, options, forwardTimer) {}

bool GossipExchange::receive(const NodeId& from, const Message& message) {
  return dispatchMessage<DigestRequest>(
             message, [&](const DigestRequest& request) { onDigestRequest(from, request); }) ||
         dispatchMessage<DigestReply>(
             message, [&](const DigestReply& reply) { onDigestReply(from, reply); }) ||
         dispatchMessage<VersionVectorReply>(
             message, [&](const VersionVectorReply& reply) { onVersionVector(from, reply); }) ||
         dispatchMessage<DeltaBatch>(message,
                                     [&](const DeltaBatch& batch) { onDeltaBatch(from, batch); }) ||
         dispatchMessage<DeltaRequest>(
             message, [&](const DeltaRequest& request) { onDeltaRequest(from, request); });
}

void GossipExchange::requestComparison(const std::vector<NodeId>& peers) {
  const DigestRequest request{digest()};
  for (const NodeId& peer : peers) {
    context_.send(peer, request);
  }
}

void GossipExchange::evict(const NodeId& origin) {
  evictedVersions_[origin] = store_.version(origin);
  store_.erase(origin);
}

void GossipExchange::onDigestRequest(const NodeId& from, const DigestRequest& request) {
  if (request.digest == digest()) {
    return;
  }
  context_.counters().add("directory_differences_found_total");
  // A short vector costs no more than the digests of its buckets.
  if (store_.originCount() > kDigestBuckets) {
    context_.send(from, DigestReply{store_.bucketDigests(delegate_.withheldOrigins())});
  } else {
    context_.send(from, VersionVectorReply{store_.versionVector(delegate_.withheldOrigins())});
  }
}

void GossipExchange::onDigestReply(const NodeId& from, const DigestReply& theirs) {
  const std::vector<std::uint64_t> own = store_.bucketDigests(delegate_.withheldOrigins());
  if (theirs.digests.size() != own.size()) {
    context_.counters().add("directory_refused_messages_total");
    return;
  }
  std::uint64_t differing = 0;
  for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
    if (own[bucket] != theirs.digests[bucket]) {
      differing |= std::uint64_t{1} << bucket;
    }
  }
  if (differing != 0) {
    context_.send(from,
                  VersionVectorReply{store_.versionVector(delegate_.withheldOrigins(), differing),
                                     differing});
  }
}

void GossipExchange::onVersionVector(const NodeId& from, const VersionVectorReply& reply) {
  std::map<NodeId, GossipVersion> theirVersions;
  DeltaRequest updates;
  for (const VersionVectorEntry& entry : reply.entries) {
    theirVersions[entry.origin] = entry.version;
    if (entry.origin == self_) {
      delegate_.onOwnVersionSeen(entry.version);
    } else if (isUpdate(entry)) {
      updates.since.push_back({entry.origin, store_.version(entry.origin)});
    }
  }
  std::vector<GossipDelta> missing;
  for (const VersionVectorEntry& own :
       store_.versionVector(delegate_.withheldOrigins(), reply.buckets)) {
    if (theirVersions[own.origin] < own.version) {
      missing.push_back(store_.deltaSince(own.origin, theirVersions[own.origin]));
    }
  }
  sendDeltas(from, std::move(missing));
  if (!updates.since.empty()) {
    context_.send(from, updates);
  }
}

bool GossipExchange::isUpdate(const VersionVectorEntry& entry) const {
  const auto evicted = evictedVersions_.find(entry.origin);
  // A restarted node counts from 1 again if no node knows its previous run; the records of the new
  // run are updates.
  const bool alreadyEvicted = evicted != evictedVersions_.end() &&
                              sameRun(evicted->second.incarnation, entry.version.incarnation) &&
                              !(evicted->second < entry.version);
  return !alreadyEvicted && store_.version(entry.origin) < entry.version;
}

void GossipExchange::onDeltaRequest(const NodeId& from, const DeltaRequest& request) {
  std::vector<GossipDelta> deltas;
  for (const VersionVectorEntry& requested : request.since) {
    if (requested.version < store_.version(requested.origin)) {
      deltas.push_back(store_.deltaSince(requested.origin, requested.version));
    }
  }
  sendDeltas(from, std::move(deltas));
}

void GossipExchange::onDeltaBatch(const NodeId& from, const DeltaBatch& batch) {
  joiningNodes_.clear();
  DeltaRequest gaps;
  for (const GossipDelta& delta : batch.deltas) {
    if (!applyDelta(from, delta, batch.forward)) {
      gaps.since.push_back({delta.origin, store_.version(delta.origin)});
    }
  }
  if (!gaps.since.empty()) {
    context_.send(from, gaps);
  }
  introduceTo(joiningNodes_);
}

bool GossipExchange::applyDelta(const NodeId& from, const GossipDelta& delta, bool forward) {
  const GossipVersion version{delta.incarnation, delta.toSequence};
  if (delta.origin == self_) {
    delegate_.onOwnVersionSeen(version);
    return true;
  }
  if (!isUpdate({delta.origin, version})) {
    return true;
  }
  const bool known = !(store_.version(delta.origin) == GossipVersion{});
  if (store_.apply(delta) == GossipRecordStore::Outcome::Gap) {
    return false;
  }
  evictedVersions_.erase(delta.origin);
  if (!known && delta.origin != from) {
    joiningNodes_.push_back(delta.origin);
  }
  // In a small fleet the origin has pushed the delta to all nodes itself.
  if (forward && isLargeFleet()) {
    forwarder_.enqueue(delta);
  }
  return true;
}

void GossipExchange::introduceTo(const std::vector<NodeId>& joiningNodes) {
  // A node whose records came from a third node may not know this node yet. In a large fleet it
  // learns of this node by anti-entropy with that third node.
  if (!isLargeFleet()) {
    pushOwnRecords(0, joiningNodes);
  }
}

void GossipExchange::forwardPending() {
  forwarder_.flush(delegate_.gossipPeers());
}

void GossipExchange::pushOwnRecords(std::uint32_t sinceSequence, std::vector<NodeId> targets) {
  if (targets.empty()) {
    return;
  }
  keepRandom(targets, options_.pushFanout, context_.random());
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

std::uint64_t GossipExchange::digest() const {
  return hash64(encodeRecord(store_.bucketDigests(delegate_.withheldOrigins())));
}

}  // namespace shedshed

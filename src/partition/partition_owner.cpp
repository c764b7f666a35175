#include "partition/partition_owner.h"

#include <algorithm>
#include <utility>

namespace shedshed {
namespace {

std::size_t bytesOf(const std::vector<VersionedRow>& rows) {
  std::size_t bytes = 0;
  for (const VersionedRow& row : rows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes;
}

/// Time until rows of this size, without an answer, are sent again.
Duration patienceFor(std::size_t bytes) {
  const std::size_t large = std::max(bytes, kSmallPageBytes) - kSmallPageBytes;
  const std::chrono::duration<double> travel(static_cast<double>(large) /
                                             kSlowestPageBytesPerSecond);
  return kPartitionRetransmit + std::chrono::duration_cast<Duration>(travel);
}

}  // namespace

PartitionOwner::PartitionOwner(CoreContext& context, const StoreSet& stores,
                               PartitionReplica& replica, const PartitionOptions& options,
                               const TakeoverOutcome& outcome, std::function<void()> changed)
    : context_(context), stores_(stores), replica_(replica), options_(options), outcome_(outcome),
      changed_(std::move(changed)), log_(replica.table().checksum()) {}

void PartitionOwner::begin() {
  const std::weak_ptr<bool> alive = alive_;
  replica_.installOwn(outcome_.epoch, outcome_.replicas, [this, alive] {
    if (!alive.expired()) {
      selfInstalled_ = true;
      changed_();
    }
  });
  addPeers();
  for (const auto& entry : outcome_.checksums) {
    const auto peer = peers_.find(entry.first);
    if (peer != peers_.end()) {
      beginTransfer(peer->first, peer->second, entry.second);
    }
  }
}

bool PartitionOwner::lost() const {
  const bool fenced = options_.safeguards.fencing &&
                      (refusedBy_ != 0 || replica_.state().promisedEpoch > outcome_.epoch);
  return fenced || !heardByMajority();
}

HeartbeatItem PartitionOwner::heartbeat() const {
  return {replica_.partition(), outcome_.epoch, log_.sequence(), stableSequence()};
}

void PartitionOwner::write(std::vector<TableEntry> entries, std::function<void(Status)> done) {
  const std::uint64_t sequence = log_.sequence() + 1;
  ReplicateRequest request{replica_.partition(), outcome_.epoch, sequence, {{}}};
  std::vector<std::string> keys;
  for (TableEntry& entry : entries) {
    const bool erased = !entry.value;
    keys.push_back(entry.key);
    request.writes[0].push_back({std::move(entry.key), Version{outcome_.epoch, sequence}, erased,
                                 erased ? std::string() : *std::move(entry.value)});
  }
  writes_.push_back({sequence, context_.now(), std::move(done)});
  const std::weak_ptr<bool> alive = alive_;
  replica_.replicate(request, [this, alive] {
    if (!alive.expired()) {
      changed_();
    }
  });
  log_.append(std::move(keys), replica_.table().checksum());
  trimLog();
  const Message message = encodeMessage(request);
  for (auto& entry : peers_) {
    Peer& peer = entry.second;
    if (peer.installed && peer.sent + 1 == sequence) {
      peer.sent = sequence;
      peer.sentAt = context_.now();
      context_.send(entry.first, message);
    }
  }
}

void PartitionOwner::confirm(std::uint64_t round, std::function<void(Status)> done) {
  confirmations_.push_back({round, context_.now(), std::move(done)});
}

void PartitionOwner::receive(const NodeId& from, const std::string& storeId,
                             const PromiseAnswer& answer) {
  if (answer.epoch != outcome_.epoch) {
    return;
  }
  Peer& peer = heardFrom(from, storeId, answer.promisedEpoch);
  if (answer.granted && !peer.installed && !peer.transfer) {
    beginTransfer(from, peer, answer.checksum);
  }
}

void PartitionOwner::receive(const NodeId& from, const InstallReply& reply) {
  if (reply.epoch != outcome_.epoch) {
    return;
  }
  Peer& peer = heardFrom(from, reply.storeId, reply.promisedEpoch);
  const bool accepted = reply.promisedEpoch == outcome_.epoch || !options_.safeguards.fencing;
  if (!accepted || !peer.transfer || peer.transfer->number != reply.transfer) {
    return;
  }
  Transfer& transfer = *peer.transfer;
  if (reply.differs) {
    beginTransfer(from, peer, std::nullopt);
    return;
  }
  if (!reply.last) {
    transfer.fromStart = false;
    transfer.afterKey = reply.throughKey;
    sendPage(from, transfer);
    return;
  }
  peer.installed = true;
  peer.acknowledged = std::max(peer.acknowledged, transfer.sequence);
  peer.sent = peer.acknowledged;
  peer.transfer.reset();
  peer.mismatches = 0;
  sendWrites(from, peer, peer.acknowledged);
  changed_();
}

void PartitionOwner::receive(const NodeId& from, const ReplicateReply& reply) {
  if (reply.epoch != outcome_.epoch) {
    return;
  }
  Peer& peer = heardFrom(from, reply.storeId, reply.position.promisedEpoch);
  update(peer, reply.position);
  const Time now = context_.now();
  if (peer.installed && reply.gap && now - peer.sentAt >= kGapResendPause) {
    sendWrites(from, peer, peer.acknowledged);
  } else if (peer.installed && peer.acknowledged == peer.sent) {
    sendWrites(from, peer, peer.sent);
  }
  changed_();
}

void PartitionOwner::heartbeatAnswered(const NodeId& from, const HeartbeatReply& reply,
                                       const ReplicaPosition& position) {
  Peer& peer = heardFrom(from, reply.storeId, position.promisedEpoch);
  peer.isScarce = reply.isScarce;
  if (position.promisedEpoch == outcome_.epoch || !options_.safeguards.fencing) {
    peer.round = std::max(peer.round, reply.round);
  }
  update(peer, position);
  scrub(from, peer, position);
  changed_();
}

bool PartitionOwner::replicaIsScarce() const {
  return std::any_of(outcome_.replicas.begin(), outcome_.replicas.end(),
                     [this](const MemberList::Member& member) {
                       const auto found = peers_.find(member.id);
                       return found != peers_.end() && found->second.storeId == member.storeId &&
                              found->second.isScarce;
                     });
}

PartitionOwner::Peer& PartitionOwner::heardFrom(const NodeId& from, const std::string& storeId,
                                                std::uint64_t promisedEpoch) {
  Peer& peer = peers_[from];
  if (peer.storeId != storeId) {
    std::optional<Transfer> transfer;
    if (peer.storeId.empty()) {
      transfer = std::move(peer.transfer);
    }
    peer = Peer();
    peer.storeId = storeId;
    peer.transfer = std::move(transfer);
  }
  peer.heardAt = context_.now();
  if (promisedEpoch > outcome_.epoch) {
    refusedBy_ = std::max(refusedBy_, promisedEpoch);
    changed_();
  }
  return peer;
}

void PartitionOwner::update(Peer& peer, const ReplicaPosition& position) {
  if (position.installedEpoch != outcome_.epoch) {
    peer.installed = false;
    peer.acknowledged = 0;
    peer.sent = 0;
    return;
  }
  if (!peer.installed) {
    peer.installed = true;
    peer.acknowledged = position.sequence;
    peer.sent = position.sequence;
  }
  peer.acknowledged = std::max(peer.acknowledged, position.sequence);
  peer.sent = std::max(peer.sent, peer.acknowledged);
}

void PartitionOwner::addPeers() {
  std::vector<NodeId> nodes = stores_.peers(replica_.partition());
  // A majority of the earlier replicas must install the epoch too, whatever became of them.
  for (const MemberList::Member& member : outcome_.previous) {
    if (member.id != context_.self()) {
      nodes.push_back(member.id);
    }
  }
  for (const NodeId& node : nodes) {
    const auto added = peers_.emplace(node, Peer());
    if (added.second) {
      added.first->second.heardAt = context_.now();
    }
  }
}

void PartitionOwner::tick() {
  addPeers();
  const Time now = context_.now();
  for (auto& entry : peers_) {
    Peer& peer = entry.second;
    if (!stores_.isReachable(entry.first)) {
      continue;
    }
    if (peer.transfer) {
      if (now - peer.transfer->sentAt >= peer.transfer->patience) {
        sendPage(entry.first, *peer.transfer);
      }
    } else if (!peer.installed) {
      driveUninstalled(entry.first, peer);
    } else if (!log_.reaches(peer.acknowledged)) {
      beginTransfer(entry.first, peer, std::nullopt);
    }
    const bool behind = peer.installed && peer.acknowledged < log_.sequence();
    if (behind && now - peer.sentAt >= peer.patience) {
      sendWrites(entry.first, peer, peer.acknowledged);
    }
  }
  if (!serving_ && selfInstalled_) {
    changed_();
  }
}

void PartitionOwner::driveUninstalled(const NodeId& node, Peer& peer) {
  const Time now = context_.now();
  if (now - peer.askedAt < kPartitionRetransmit) {
    return;
  }
  peer.askedAt = now;
  context_.send(node, PromiseRequest{{PromiseItem{replica_.partition(), outcome_.epoch}}});
}

void PartitionOwner::beginTransfer(const NodeId& node, Peer& peer,
                                   std::optional<std::uint64_t> checksum) {
  Transfer transfer;
  transfer.number = nextTransfer_++;
  transfer.sequence = log_.sequence();
  transfer.checksum = checksum.value_or(0);
  if (checksum && checksum == replica_.table().checksum()) {
    transfer.keepRows = true;
  } else if (checksum && checksum == log_.checksumAt(0) && log_.reaches(0)) {
    transfer.keepRows = true;
    transfer.sequence = 0;
  }
  peer.transfer = transfer;
  sendPage(node, *peer.transfer);
}

void PartitionOwner::sendPage(const NodeId& node, Transfer& transfer) {
  transfer.sentAt = context_.now();
  InstallRequest request;
  request.partition = replica_.partition();
  request.epoch = outcome_.epoch;
  request.transfer = transfer.number;
  request.sequence = transfer.sequence;
  request.keepRows = transfer.keepRows;
  request.replicas = outcome_.replicas;
  if (transfer.keepRows) {
    request.checksum = transfer.checksum;
    request.page.last = true;
  } else {
    request.page = replica_.table().page(transfer.fromStart, transfer.afterKey);
    transfer.patience = patienceFor(bytesOf(request.page.rows));
    context_.counters().add("partition_transfer_rows_total",
                            static_cast<double>(request.page.rows.size()));
  }
  context_.send(node, request);
}

void PartitionOwner::sendWrites(const NodeId& node, Peer& peer, std::uint64_t after) {
  if (after >= log_.sequence() || !log_.reaches(after)) {
    return;
  }
  ReplicateRequest request{replica_.partition(), outcome_.epoch, after + 1, {}};
  request.writes = log_.writesAfter(after, replica_.table());
  peer.sent = after + request.writes.size();
  peer.sentAt = context_.now();
  std::size_t bytes = 0;
  for (const std::vector<VersionedRow>& write : request.writes) {
    bytes += bytesOf(write);
  }
  peer.patience = patienceFor(bytes);
  context_.send(node, request);
}

void PartitionOwner::scrub(const NodeId& node, Peer& peer, const ReplicaPosition& position) {
  const Time now = context_.now();
  if (!peer.installed || peer.transfer || now - peer.scrubbedAt < kScrubInterval) {
    return;
  }
  const std::optional<std::uint64_t> expected = log_.checksumAt(position.checksumSequence);
  if (!expected) {
    return;
  }
  peer.scrubbedAt = now;
  peer.mismatches = *expected == position.checksum ? 0 : peer.mismatches + 1;
  // One mismatch may be a replica that was sent a later row with an earlier write.
  if (peer.mismatches < 2) {
    return;
  }
  context_.counters().add("partition_scrub_repairs_total");
  beginTransfer(node, peer, std::nullopt);
}

void PartitionOwner::trimLog() {
  std::uint64_t needed = log_.sequence();
  for (const auto& entry : peers_) {
    if (entry.second.transfer) {
      needed = std::min(needed, entry.second.transfer->sequence);
    }
  }
  log_.trim(needed);
}

}  // namespace shedshed

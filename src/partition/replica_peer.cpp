#include "partition/replica_peer.h"

#include <algorithm>
#include <utility>

namespace shedshed {

namespace {

/// Largest message that is retransmitted after `PartitionOptions::kRetransmitTimeout`.
constexpr std::size_t kSmallMessageBytes = 64 * 1024;

/// Assumed transfer rate for the rest of a larger message. A store with an empty disk is sent a
/// page of every partition at once; retransmitting pages while the first ones are queued for the
/// link would keep it saturated.
constexpr double kMinTransferBytesPerSecond = 400e3;

/// A scrub repairs the replica only after this many consecutive mismatches: the first one may come
/// from a replica that was sent a later row with an earlier write.
constexpr int kMismatchesBeforeRepair = 2;

std::size_t bytesOf(const std::vector<VersionedRow>& rows) {
  std::size_t bytes = 0;
  for (const VersionedRow& row : rows) {
    bytes += row.key.size() + row.value.size();
  }
  return bytes;
}

/// Returns the time after which unacknowledged rows of this size are retransmitted.
Duration retransmitTimeoutFor(std::size_t bytes) {
  const std::size_t large = std::max(bytes, kSmallMessageBytes) - kSmallMessageBytes;
  const std::chrono::duration<double> travel(static_cast<double>(large) /
                                             kMinTransferBytesPerSecond);
  return PartitionOptions::kRetransmitTimeout + std::chrono::duration_cast<Duration>(travel);
}

}  // namespace

ReplicaPeer::ReplicaPeer(ReplicationSource& source, NodeId node)
    : source_(source), node_(std::move(node)) {
  state_.lastReplyAt = source_.context.now();
}

void ReplicaPeer::replyReceived(const std::string& storeId) {
  if (state_.storeId != storeId) {
    // Another disk has acknowledged nothing. A transfer that began before the first reply
    // continues.
    State fresh;
    fresh.storeId = storeId;
    if (state_.storeId.empty()) {
      fresh.transfer = std::move(state_.transfer);
    }
    state_ = std::move(fresh);
  }
  state_.lastReplyAt = source_.context.now();
}

void ReplicaPeer::receive(const PromiseAnswer& answer) {
  if (answer.granted && !state_.installed && !state_.transfer) {
    beginTransfer(answer.checksum);
  }
}

void ReplicaPeer::receive(const InstallReply& reply) {
  // Fencing: a replica that has promised a higher epoch may have sent its rows to a takeover that
  // does not see what is installed now, so it must not count for this epoch.
  const bool accepted = reply.promisedEpoch == source_.epoch() || !source_.fencing;
  if (!accepted || !state_.transfer || state_.transfer->number != reply.transfer) {
    return;
  }
  if (reply.differs) {
    beginTransfer(std::nullopt);
    return;
  }
  if (!reply.last) {
    // A replica that restarted during the transfer has forgotten its position and begins anew.
    state_.transfer->fromStart = reply.throughKey.empty();
    state_.transfer->afterKey = reply.throughKey;
    sendPage();
    return;
  }
  state_.installed = true;
  state_.acknowledged = std::max(state_.acknowledged, state_.transfer->sequence);
  state_.sent = state_.acknowledged;
  state_.transfer.reset();
  state_.mismatches = 0;
  sendWritesAfter(state_.acknowledged);
}

void ReplicaPeer::receive(const ReplicateReply& reply) {
  updatePosition(reply.position);
  if (!state_.installed) {
    return;
  }
  const Duration sinceSent = source_.context.now() - state_.writesSentAt;
  if (reply.gap && sinceSent >= kGapResendInterval) {
    sendWritesAfter(state_.acknowledged);
  } else if (state_.acknowledged == state_.sent) {
    sendWritesAfter(state_.sent);
  }
}

void ReplicaPeer::receive(const HeartbeatReply& reply, const ReplicaPosition& position) {
  state_.isLowOnDiskSpace = reply.isLowOnDiskSpace;
  if (position.promisedEpoch == source_.epoch() || !source_.fencing) {
    state_.heartbeatRound = std::max(state_.heartbeatRound, reply.round);
  }
  updatePosition(position);
  scrub(position);
}

void ReplicaPeer::updatePosition(const ReplicaPosition& position) {
  if (position.installedEpoch != source_.epoch()) {
    // The replica restarted and lost its memory, or dropped damaged rows.
    state_.installed = false;
    state_.acknowledged = 0;
    state_.sent = 0;
    return;
  }
  if (!state_.installed) {
    state_.installed = true;
    state_.acknowledged = position.sequence;
    state_.sent = position.sequence;
  }
  state_.acknowledged = std::max(state_.acknowledged, position.sequence);
  state_.sent = std::max(state_.sent, state_.acknowledged);
}

void ReplicaPeer::tick() {
  const Time now = source_.context.now();
  if (state_.transfer) {
    if (now - state_.transfer->sentAt >= state_.transfer->retransmitTimeout) {
      sendPage();
    }
  } else if (!state_.installed) {
    requestPromise();
  } else if (!source_.log.reaches(state_.acknowledged)) {
    beginTransfer(std::nullopt);
  }
  const bool behind = state_.installed && state_.acknowledged < source_.log.sequence();
  if (behind && now - state_.writesSentAt >= state_.retransmitTimeout) {
    sendWritesAfter(state_.acknowledged);
  }
}

void ReplicaPeer::requestPromise() {
  const Time now = source_.context.now();
  if (now - state_.promiseRequestedAt < PartitionOptions::kRetransmitTimeout) {
    return;
  }
  state_.promiseRequestedAt = now;
  const PromiseItem item{source_.replica.partition(), source_.epoch()};
  source_.context.send(node_, PromiseRequest{{item}});
}

void ReplicaPeer::beginTransfer(std::optional<std::uint64_t> checksum) {
  const WriteLog& log = source_.log;
  Transfer transfer;
  transfer.number = source_.nextTransfer++;
  transfer.sequence = log.sequence();
  transfer.checksum = checksum.value_or(0);
  if (checksum && checksum == source_.replica.table().checksum()) {
    transfer.keepRows = true;
  } else if (checksum && checksum == log.checksumAt(0) && log.reaches(0)) {
    // It has the merged table: only the writes since then are needed.
    transfer.keepRows = true;
    transfer.sequence = 0;
  }
  state_.transfer = std::move(transfer);
  sendPage();
}

void ReplicaPeer::sendPage() {
  Transfer& transfer = *state_.transfer;
  transfer.sentAt = source_.context.now();
  InstallRequest request;
  request.partition = source_.replica.partition();
  request.epoch = source_.epoch();
  request.transfer = transfer.number;
  request.sequence = transfer.sequence;
  request.keepRows = transfer.keepRows;
  request.replicas = source_.outcome.replicas;
  if (transfer.keepRows) {
    request.checksum = transfer.checksum;
    request.page.last = true;
  } else {
    request.page = source_.replica.table().page(transfer.fromStart, transfer.afterKey);
    transfer.retransmitTimeout = retransmitTimeoutFor(bytesOf(request.page.rows));
    source_.context.counters().add("partition_transfer_rows_total",
                                   static_cast<double>(request.page.rows.size()));
  }
  source_.context.send(node_, request);
}

void ReplicaPeer::sendWrite(std::uint64_t sequence, const Message& message) {
  if (!state_.installed || state_.sent + 1 != sequence) {
    return;
  }
  state_.sent = sequence;
  state_.writesSentAt = source_.context.now();
  source_.context.send(node_, message);
}

void ReplicaPeer::sendWritesAfter(std::uint64_t sequence) {
  const WriteLog& log = source_.log;
  if (sequence >= log.sequence() || !log.reaches(sequence)) {
    return;
  }
  ReplicateRequest request{source_.replica.partition(), source_.epoch(), sequence + 1, {}};
  request.writes = log.writesAfter(sequence, source_.replica.table());
  state_.sent = sequence + request.writes.size();
  state_.writesSentAt = source_.context.now();
  std::size_t bytes = 0;
  for (const std::vector<VersionedRow>& write : request.writes) {
    bytes += bytesOf(write);
  }
  state_.retransmitTimeout = retransmitTimeoutFor(bytes);
  source_.context.send(node_, request);
}

void ReplicaPeer::scrub(const ReplicaPosition& position) {
  const Time now = source_.context.now();
  if (!state_.installed || state_.transfer || now - state_.scrubbedAt < kScrubInterval) {
    return;
  }
  const std::optional<std::uint64_t> expected = source_.log.checksumAt(position.checksumSequence);
  if (!expected) {
    return;
  }
  state_.scrubbedAt = now;
  state_.mismatches = *expected == position.checksum ? 0 : state_.mismatches + 1;
  if (state_.mismatches < kMismatchesBeforeRepair) {
    return;
  }
  source_.context.counters().add("partition_scrub_repairs_total");
  beginTransfer(std::nullopt);
}

bool ReplicaPeer::holds(const std::string& storeId, std::uint64_t sequence) const {
  return state_.storeId == storeId && state_.installed && state_.acknowledged >= sequence;
}

bool ReplicaPeer::confirms(const std::string& storeId, std::uint64_t round) const {
  return state_.storeId == storeId && state_.heartbeatRound >= round;
}

bool ReplicaPeer::isLowOnDiskSpace(const std::string& storeId) const {
  return state_.storeId == storeId && state_.isLowOnDiskSpace;
}

std::optional<std::uint64_t> ReplicaPeer::transferSequence() const {
  return state_.transfer ? std::optional(state_.transfer->sequence) : std::nullopt;
}

}  // namespace shedshed

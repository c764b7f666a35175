#include "batch/queued_token_reservations.h"

#include "batch/queued_token_quota.h"

namespace shedshed {
namespace {

/// An unanswered reservation request is repeated after this time.
constexpr Duration kReservationRetry = std::chrono::milliseconds(200);
/// A submission whose reservation takes longer is rejected; its sender may retry.
constexpr Duration kReservationTimeout = std::chrono::milliseconds(1200);
/// Interval of the reports to the quota.
constexpr Duration kReportInterval = std::chrono::milliseconds(250);

}  // namespace

void QueuedTokenReservations::reserve(const PartitionId& partition, QueuedBatch batch) {
  const std::string batchId = batch.batchId;
  Reservation& reservation = reservationsByPartition_[partition][batchId];
  reservation = Reservation{std::move(batch), 0, context_.now()};
  send(partition, reservation);
  context_.startTimer(kRetryTimer, kReservationRetry);
}

void QueuedTokenReservations::cancel(const PartitionId& partition, const std::string& batchId) {
  const auto reservations = reservationsByPartition_.find(partition);
  if (reservations != reservationsByPartition_.end()) {
    reservations->second.erase(batchId);
  }
}

NodeId QueuedTokenReservations::quotaOwner() const {
  return locator_.candidate(QueuedTokenQuota::partition(), attempt_);
}

bool QueuedTokenReservations::followHint(const NodeId& from, const NodeId& owner) {
  if (owner.empty() || owner == from || owner == quotaOwner()) {
    return false;
  }
  locator_.redirected(QueuedTokenQuota::partition(), owner);
  attempt_ = 0;
  return true;
}

void QueuedTokenReservations::send(const PartitionId& partition, Reservation& reservation) {
  const NodeId to = quotaOwner();
  if (to.empty()) {
    return;
  }
  ReserveQueuedTokens request;
  request.number = ++lastNumber_;
  reservation.lastNumber = request.number;
  request.partition = partition;
  request.epoch = store_.epoch(partition);
  request.batch = reservation.batch;
  context_.send(to, request);
}

void QueuedTokenReservations::onReply(const NodeId& from, const ReserveQueuedTokensReply& reply) {
  const bool redirected = followHint(from, reply.quotaOwner);
  const PartitionId partition = partitionOfBatch(reply.batchId);
  const auto reservations = reservationsByPartition_.find(partition);
  if (reservations == reservationsByPartition_.end() || !store_.owns(partition)) {
    return;
  }
  const auto found = reservations->second.find(reply.batchId);
  if (found == reservations->second.end() || reply.number != found->second.lastNumber) {
    return;
  }
  if (reply.outcome == ReserveOutcome::NotReady) {
    if (redirected) {
      send(partition, found->second);
    }
    return;  // If not sent here, the request is repeated by the timer.
  }
  attempt_ = 0;
  reservations->second.erase(found);
  if (reply.outcome == ReserveOutcome::Granted) {
    listener_->reservationGranted(partition, reply.batchId);
  } else {
    listener_->reservationRejected(partition, reply.batchId, ErrorCode::PoolFull);
  }
}

void QueuedTokenReservations::retry() {
  bool hasOpen = false;
  ++attempt_;  // Replies take far less than `kReservationRetry`: try another node.
  for (auto& [partition, reservations] : reservationsByPartition_) {
    std::vector<std::string> timedOut;
    for (auto& [batchId, reservation] : reservations) {
      if (context_.now() - reservation.requestedAt >= kReservationTimeout) {
        timedOut.push_back(batchId);
        continue;
      }
      hasOpen = true;
      send(partition, reservation);
    }
    for (const std::string& batchId : timedOut) {
      reservations.erase(batchId);
      listener_->reservationRejected(partition, batchId, ErrorCode::StoreUnavailable);
    }
  }
  if (hasOpen) {
    context_.startTimer(kRetryTimer, kReservationRetry);
  }
}

PartitionTokens QueuedTokenReservations::queuedTokens(const PartitionId& partition,
                                                      const OwnedBatches& owned) const {
  PartitionTokens tokens;
  tokens.partition = partition;
  tokens.epoch = owned.epoch;
  for (const auto& [batchId, batch] : owned.batches) {
    const std::uint64_t queued = batch.cancelRequested ? 0 : batch.queuedTokens();
    if (queued != 0) {
      tokens.batches.push_back({batchId, {batch.meta().tenant, batch.meta().route}, queued});
    }
  }
  const auto reservations = reservationsByPartition_.find(partition);
  if (reservations != reservationsByPartition_.end()) {
    for (const auto& entry : reservations->second) {
      tokens.batches.push_back(entry.second.batch);
    }
  }
  return tokens;
}

void QueuedTokenReservations::report() {
  context_.startTimer(kReportTimer, kReportInterval);
  const NodeId to = quotaOwner();
  if (!settings_.limitsQueuedTokens() || to.empty()) {
    return;
  }
  QueuedTokensReport report;
  for (const auto& [partition, owned] : table_.partitions()) {
    if (store_.owns(partition)) {
      report.partitions.push_back(queuedTokens(partition, owned));
    }
  }
  if (!report.partitions.empty()) {
    report.number = ++lastNumber_;
    context_.send(to, report);
  }
}

void QueuedTokenReservations::onRequest(const NodeId& from, const QueuedTokensRequest& request) {
  locator_.redirected(QueuedTokenQuota::partition(), from);
  attempt_ = 0;
  for (const PartitionId& partition : request.partitions) {
    const auto found = table_.partitions().find(partition);
    if (found == table_.partitions().end() || !store_.owns(partition)) {
      continue;
    }
    store_.confirmOwnership(partition, [this, from, partition, epoch = found->second.epoch,
                                        quotaEpoch = request.quotaEpoch](const Status& status) {
      if (status) {
        answerRequest(from, partition, epoch, quotaEpoch);
      }
    });
  }
}

void QueuedTokenReservations::answerRequest(const NodeId& to, const PartitionId& partition,
                                            std::uint64_t epoch, std::uint64_t quotaEpoch) {
  const auto owned = table_.partitions().find(partition);
  if (owned == table_.partitions().end() || owned->second.epoch != epoch) {
    return;
  }
  QueuedTokensReport report;
  report.number = ++lastNumber_;
  report.quotaEpoch = quotaEpoch;
  report.partitions.push_back(queuedTokens(partition, owned->second));
  context_.send(to, report);
}

}  // namespace shedshed

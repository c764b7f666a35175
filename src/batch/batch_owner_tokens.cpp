/// Waiting tokens: reservations before a batch is accepted, reports of what waits.
#include "batch/batch_owner_core.h"
#include "batch/queued_token_quota.h"

namespace shedshed {
namespace {

/// An unanswered reservation is asked for again after this time.
constexpr Duration kReservationRetry = std::chrono::milliseconds(200);
/// A submission whose reservation takes longer is refused: its sender may come back.
constexpr Duration kReservationTimeout = std::chrono::milliseconds(1200);
/// Interval of the reports to the ledger.
constexpr Duration kTokenReportInterval = std::chrono::milliseconds(250);

std::uint64_t sumOf(const std::vector<std::uint64_t>& tokens) {
  std::uint64_t total = 0;
  for (const std::uint64_t count : tokens) {
    total += count;
  }
  return total;
}

}  // namespace

bool BatchOwnerCore::needsReservation(const SubmitChunk& chunk) const {
  return settings_.queuedTokenLimit(chunk.route) != 0;
}

void BatchOwnerCore::reserve(const NodeId& from, SubmitChunk chunk, Upload& upload) {
  const PartitionId partition = partitionOf(TableKind::Batches, chunk.batchId);
  Reservation reservation;
  reservation.askedAt = context_.now();
  reservation.tokens = sumOf(upload.meta.tokens) + sumOf(chunk.tokens);
  reservation.from = from;
  reservation.chunk = std::move(chunk);
  upload.reservation = std::move(reservation);
  sendReservation(partition, upload);
  context_.startTimer(kReservationTimer, kReservationRetry);
}

NodeId BatchOwnerCore::quotaOwner() const {
  return locator_.candidate(QueuedTokenQuota::partition(), quotaAttempt_);
}

bool BatchOwnerCore::redirectToQuota(const NodeId& from, const NodeId& owner) {
  if (owner.empty() || owner == from || owner == this->quotaOwner()) {
    return false;
  }
  locator_.redirected(QueuedTokenQuota::partition(), owner);
  quotaAttempt_ = 0;
  return true;
}

void BatchOwnerCore::sendReservation(const PartitionId& partition, Upload& upload) {
  const NodeId to = quotaOwner();
  if (to.empty()) {
    return;
  }
  ReserveQueuedTokens request;
  request.number = ++lastTokenNumber_;
  upload.reservation->lastNumber = request.number;
  request.partition = partition;
  request.epoch = store_.epoch(partition);
  request.batch = reservedBatch(upload);
  context_.send(to, request);
}

QueuedBatch BatchOwnerCore::reservedBatch(const Upload& upload) {
  const Reservation& reservation = *upload.reservation;
  const TokenAccount account{upload.meta.tenant, upload.meta.route};
  return {reservation.chunk.batchId, account, reservation.tokens};
}

/// A copy of the last chunk while its reservation is open: all copies get the same answer.
void BatchOwnerCore::joinReservation(const NodeId& from, const SubmitChunk& chunk,
                                     Reservation& reservation) {
  SubmitChunk copy = chunk;
  copy.items.clear();
  reservation.others.emplace_back(from, std::move(copy));
}

void BatchOwnerCore::onReservation(const NodeId& from, const ReserveQueuedTokensReply& reply) {
  const bool moved = redirectToQuota(from, reply.quotaOwner);
  Owned* owned = ownedOf(reply.batchId);
  if (owned == nullptr) {
    return;
  }
  // Only the latest request counts: the ledger may have refused it after an earlier grant.
  const auto found = owned->uploads.find(reply.batchId);
  if (found == owned->uploads.end() || !found->second.reservation ||
      reply.number != found->second.reservation->lastNumber) {
    return;
  }
  if (reply.outcome == ReserveOutcome::NotReady) {
    if (moved) {
      sendReservation(reply.partition, found->second);
    }
    return;  // Else asked again by the timer.
  }
  quotaAttempt_ = 0;
  if (reply.outcome == ReserveOutcome::Granted) {
    commitReserved(*owned, found->second);
  } else {
    rejectReserved(*owned, reply.batchId, ErrorCode::PoolFull);
  }
}

void BatchOwnerCore::commitReserved(Owned& owned, Upload& upload) {
  Reservation reservation = std::move(*upload.reservation);
  upload.reservation.reset();
  const std::string batchId = reservation.chunk.batchId;
  commitChunk(reservation.from, std::move(reservation.chunk), owned, upload);
  BatchState* batch = find(batchId);
  for (const auto& [from, chunk] : reservation.others) {
    if (batch != nullptr) {
      answerCommitted(from, chunk, *batch, true);
    } else {
      reject(from, {chunk.request, chunk.transmission}, ErrorCode::NotReady);
    }
  }
}

void BatchOwnerCore::rejectReserved(Owned& owned, const std::string& batchId, ErrorCode code) {
  const Reservation reservation = std::move(*owned.uploads.at(batchId).reservation);
  context_.counters().add("batches_rejected_for_queued_tokens_total");
  abandonUpload(batchId, owned);
  rejectPermanently(reservation.from, {reservation.chunk.request, reservation.chunk.transmission},
                    code, owned);
  for (const auto& [from, chunk] : reservation.others) {
    rejectPermanently(from, {chunk.request, chunk.transmission}, code, owned);
  }
}

void BatchOwnerCore::retryReservations() {
  bool open = false;
  ++quotaAttempt_;  // An answer takes far less than the time that has passed.
  for (auto& [partition, owned] : owned_) {
    std::vector<std::string> late;
    for (auto& [batchId, upload] : owned.uploads) {
      if (!upload.reservation) {
        continue;
      }
      if (context_.now() - upload.reservation->askedAt >= kReservationTimeout) {
        late.push_back(batchId);
        continue;
      }
      open = true;
      sendReservation(partition, upload);
    }
    for (const std::string& batchId : late) {
      rejectReserved(owned, batchId, ErrorCode::StoreUnavailable);
    }
  }
  if (open) {
    context_.startTimer(kReservationTimer, kReservationRetry);
  }
}

PartitionTokens BatchOwnerCore::queuedTokens(const PartitionId& partition,
                                             const Owned& owned) const {
  PartitionTokens tokens;
  tokens.partition = partition;
  tokens.epoch = owned.epoch;
  for (const auto& [batchId, batch] : owned.batches) {
    const std::uint64_t waiting = batch.cancelRequested ? 0 : batch.queuedTokens();
    if (waiting != 0) {
      tokens.batches.push_back({batchId, {batch.meta().tenant, batch.meta().route}, waiting});
    }
  }
  for (const auto& entry : owned.uploads) {
    if (entry.second.reservation) {
      tokens.batches.push_back(reservedBatch(entry.second));
    }
  }
  return tokens;
}

void BatchOwnerCore::reportTokens() {
  context_.startTimer(kTokenReportTimer, kTokenReportInterval);
  const NodeId to = quotaOwner();
  if (!settings_.limitsQueuedTokens() || to.empty()) {
    return;
  }
  QueuedTokensReport report;
  for (const auto& [partition, owned] : owned_) {
    if (store_.owns(partition)) {
      report.partitions.push_back(queuedTokens(partition, owned));
    }
  }
  if (!report.partitions.empty()) {
    report.number = ++lastTokenNumber_;
    context_.send(to, report);
  }
}

void BatchOwnerCore::onTokensRequest(const NodeId& from, const QueuedTokensRequest& request) {
  locator_.redirected(QueuedTokenQuota::partition(), from);
  quotaAttempt_ = 0;
  for (const PartitionId& partition : request.partitions) {
    const auto found = owned_.find(partition);
    if (found == owned_.end() || !store_.owns(partition)) {
      continue;
    }
    const std::uint64_t epoch = found->second.epoch;
    store_.confirmOwnership(
        partition, [this, from, partition, epoch, quotaEpoch = request.quotaEpoch](Status status) {
          const Owned* owned = status ? ownedOf(partition, epoch) : nullptr;
          if (owned == nullptr) {
            return;
          }
          QueuedTokensReport report;
          report.number = ++lastTokenNumber_;
          report.quotaEpoch = quotaEpoch;
          report.partitions.push_back(queuedTokens(partition, *owned));
          context_.send(from, report);
        });
  }
}

}  // namespace shedshed

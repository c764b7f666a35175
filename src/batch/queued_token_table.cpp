#include "batch/queued_token_table.h"

#include <utility>

namespace shedshed {

bool QueuedTokenTable::applyReport(const PartitionTokens& report, std::uint64_t number) {
  Partition& partition = partitions_[report.partition];
  const bool sameOwner = report.epoch == partition.epoch;
  if (report.epoch < partition.epoch || (sameOwner && number <= partition.lastReport)) {
    return false;
  }
  std::map<std::string, Entry> batches;
  for (const QueuedBatch& batch : report.batches) {
    batches[batch.batchId] = {batch, number};
  }
  for (auto& [batchId, entry] : partition.batches) {
    // Keep reservations requested after the report was written, which it cannot include. A batch
    // of an earlier epoch is in the report if it was committed; if not, it can no longer be
    // committed.
    if (sameOwner && entry.number > number) {
      batches[batchId] = std::move(entry);
    }
  }
  partition.batches = std::move(batches);
  partition.epoch = report.epoch;
  partition.lastReport = number;
  return true;
}

ReserveOutcome QueuedTokenTable::reserve(const ReserveQueuedTokens& request, std::uint64_t limit) {
  Partition& partition = partitions_[request.partition];
  if (request.epoch < partition.epoch) {
    return ReserveOutcome::NotReady;
  }
  // A repeated request must not count its own batch twice.
  partition.batches.erase(request.batch.batchId);
  const bool fits =
      limit == 0 || queuedTokens(request.batch.account) + request.batch.tokens <= limit;
  if (!fits) {
    return ReserveOutcome::Full;
  }
  if (request.epoch > partition.epoch) {
    // Batches of the earlier epoch are counted until the new owner reports which of them exist.
    partition.epoch = request.epoch;
    partition.lastReport = 0;
  }
  partition.batches[request.batch.batchId] = {request.batch, request.number};
  return ReserveOutcome::Granted;
}

std::uint64_t QueuedTokenTable::queuedTokens(const TokenAccount& account) const {
  std::uint64_t total = 0;
  for (const auto& partition : partitions_) {
    for (const auto& entry : partition.second.batches) {
      const QueuedBatch& batch = entry.second.batch;
      total += batch.account == account ? batch.tokens : 0;
    }
  }
  return total;
}

}  // namespace shedshed

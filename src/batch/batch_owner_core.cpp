#include "batch/batch_owner_core.h"

namespace shedshed {
namespace {

PartitionId partitionOfBatch(const std::string& batchId) {
  return partitionOf(TableKind::Batches, batchId);
}

std::string idOfKey(std::string_view key) {
  return std::string(key.substr(key.rfind('/') + 1));
}

}  // namespace

BatchOwnerCore::BatchOwnerCore(CoreContext& context, PartitionStore& store,
                               ConfigurationSource& configuration, const Directory& directory,
                               BatchOwnerOptions options)
    : context_(context), store_(store), settings_(configuration), directory_(directory),
      locator_(directory, configuration), options_(options) {}

void BatchOwnerCore::start() {
  store_.setListener(TableKind::Batches, *this);
  context_.startTimer(kTickTimer, options_.tick);
  reportTokens();
}

void BatchOwnerCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<SubmitChunk>(message,
                               [&](SubmitChunk chunk) { onSubmit(from, std::move(chunk)); }) ||
      dispatchMessage<BatchQuery>(message,
                                  [&](BatchQuery query) { onQuery(from, std::move(query)); }) ||
      dispatchMessage<RunHeartbeat>(
          message, [&](const RunHeartbeat& heartbeat) { onHeartbeat(from, heartbeat); }) ||
      dispatchMessage<FetchItems>(message,
                                  [&](const FetchItems& fetch) { onFetch(from, fetch); }) ||
      dispatchMessage<StartItem>(message, [&](const StartItem& start) { onStart(from, start); }) ||
      dispatchMessage<RevertStart>(
          message, [&](const RevertStart& revert) { onRevertStart(from, revert); }) ||
      dispatchMessage<FinishItem>(message,
                                  [&](FinishItem finish) { onFinish(from, std::move(finish)); }) ||
      dispatchMessage<ReturnRun>(message,
                                 [&](const ReturnRun& returned) { onReturnRun(from, returned); }) ||
      dispatchMessage<ReserveQueuedTokensReply>(
          message, [&](const ReserveQueuedTokensReply& reply) { onReservation(from, reply); }) ||
      dispatchMessage<QueuedTokensRequest>(
          message, [&](const QueuedTokensRequest& request) { onTokensRequest(from, request); });
}

void BatchOwnerCore::timerExpired(TimerId timer) {
  switch (timer) {
  case kTickTimer:
    tick();
    context_.startTimer(kTickTimer, options_.tick);
    break;
  case kReservationTimer:
    retryReservations();
    break;
  case kTokenReportTimer:
    reportTokens();
    break;
  default:
    break;
  }
}

void BatchOwnerCore::ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                                     RecoveryKind) {
  Owned& owned = owned_[partition];
  owned = Owned();
  owned.epoch = epoch;
  loadPendingDeletions(partition, owned);
  store_.forEach(partition, kMetaPrefix, [&](std::string_view key, const std::string& value) {
    loadBatch(partition, owned, idOfKey(key), value);
    return true;
  });
}

void BatchOwnerCore::ownershipLost(const PartitionId& partition) {
  owned_.erase(partition);
}

void BatchOwnerCore::loadPendingDeletions(const PartitionId& partition, Owned& owned) {
  // An interrupted submission is erased: its sender starts again at the first chunk.
  for (const char* prefix : {kUploadPrefix, kExpiredPrefix}) {
    store_.forEach(partition, prefix, [&](std::string_view key, const std::string& value) {
      const Result<PendingDeletionRecord> record = decodeRecord<PendingDeletionRecord>(value);
      if (record) {
        owned.pendingDeletions[idOfKey(key)].record = record.value();
      }
      return true;
    });
  }
}

void BatchOwnerCore::loadBatch(const PartitionId& partition, Owned& owned,
                               const std::string& batchId, const std::string& metaRow) {
  Result<BatchMeta> meta = decodeRecord<BatchMeta>(metaRow);
  if (!meta) {
    context_.counters().add("batch_rows_corrupt_total");
    return;
  }
  owned.bodyBytes += meta.value().bodyBytes;
  BatchState& batch =
      owned.batches.emplace(batchId, BatchState(batchId, std::move(meta).value())).first->second;
  // The merged table is on a majority before the ownership begins.
  batch.committed = true;
  batch.lastHeartbeat = context_.now();
  batch.acceptedAt = context_.now();
  if (const auto final = store_.get(partition, finalKey(batchId))) {
    const Result<BatchStatus> status = decodeRecord<BatchStatus>(*final);
    if (status) {
      if (batch.listsByCompletion()) {
        loadItems(partition, batch);
      }
      batch.setFinished(status.value());
      batch.finishedAt = context_.now();
      return;
    }
  }
  if (store_.get(partition, cancelKey(batchId))) {
    batch.cancelRequested = true;
    batch.setCancelled();
  }
  if (const auto run = store_.get(partition, runKey(batchId))) {
    const Result<RunRecord> record = decodeRecord<RunRecord>(*run);
    if (record) {
      batch.run = record.value();
      batch.runDurable = true;
    }
  }
  loadItems(partition, batch);
}

void BatchOwnerCore::loadItems(const PartitionId& partition, BatchState& batch) {
  store_.forEach(partition, itemPrefix(batch.id()),
                 [&](std::string_view key, const std::string& value) {
                   const std::uint64_t position = positionOfItemKey(key);
                   const Result<ItemRecord> record = decodeRecord<ItemRecord>(value);
                   if (!record || position >= batch.meta().itemCount) {
                     context_.counters().add("batch_rows_corrupt_total");
                     return true;
                   }
                   const ItemRecord& item = record.value();
                   applyItem(batch, position, item);
                   if (item.state == ItemState::Started && item.runEpoch == batch.run.epoch) {
                     batch.runnerProcess = item.incarnation;
                   }
                   return true;
                 });
  batch.unranked = batch.dropRanksBehindGap();
}

BatchOwnerCore::Owned* BatchOwnerCore::ownedOf(const std::string& batchId) {
  const PartitionId partition = partitionOfBatch(batchId);
  const auto found = owned_.find(partition);
  if (found == owned_.end() || !store_.owns(partition)) {
    return nullptr;
  }
  return &found->second;
}

BatchOwnerCore::Owned* BatchOwnerCore::ownedOf(const PartitionId& partition, std::uint64_t epoch) {
  const auto found = owned_.find(partition);
  return found == owned_.end() || found->second.epoch != epoch ? nullptr : &found->second;
}

void BatchOwnerCore::whenOwnershipIsProved(const std::string& batchId,
                                           std::function<void()> answer) {
  store_.confirmOwnership(partitionOfBatch(batchId),
                          [answer = std::move(answer)](const Status& status) {
                            if (status) {
                              answer();
                            }
                          });
}

BatchState* BatchOwnerCore::find(const std::string& batchId) {
  Owned* owned = ownedOf(batchId);
  if (owned == nullptr) {
    return nullptr;
  }
  const auto found = owned->batches.find(batchId);
  return found == owned->batches.end() ? nullptr : &found->second;
}

void BatchOwnerCore::writeUntilDurable(const std::string& batchId, std::vector<TableEntry> entries,
                                       std::function<void()> done) {
  writeUntilDurable(partitionOfBatch(batchId), std::move(entries), std::move(done));
}

void BatchOwnerCore::writeUntilDurable(const PartitionId& partition,
                                       std::vector<TableEntry> entries,
                                       std::function<void()> done) {
  const auto found = owned_.find(partition);
  if (found == owned_.end()) {
    return;
  }
  const std::uint64_t epoch = found->second.epoch;
  std::vector<TableEntry> copy = entries;
  store_.write(partition, std::move(copy),
               [this, partition, epoch, entries = std::move(entries),
                done = std::move(done)](const Status& status) mutable {
                 Owned* owned = ownedOf(partition, epoch);
                 if (owned == nullptr) {
                   return;
                 }
                 if (status) {
                   done();
                   return;
                 }
                 context_.counters().add("batch_writes_failed_total");
                 if (status.error().code != ErrorCode::NotOwner) {
                   owned->retries.push_back({std::move(entries), std::move(done)});
                 }
               });
}

void BatchOwnerCore::tick() {
  std::vector<PartitionId> partitions;
  for (const auto& entry : owned_) {
    partitions.push_back(entry.first);
  }
  for (const PartitionId& partition : partitions) {
    const auto found = owned_.find(partition);
    if (found == owned_.end()) {
      continue;
    }
    std::vector<RetryWrite> retries = std::move(found->second.retries);
    found->second.retries.clear();
    for (RetryWrite& retry : retries) {
      writeUntilDurable(partition, std::move(retry.entries), std::move(retry.done));
    }
    expire(partition, found->second);
    for (auto& entry : found->second.batches) {
      superviseRun(entry.second);
    }
  }
}

}  // namespace shedshed

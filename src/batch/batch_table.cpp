#include "batch/batch_table.h"

namespace shedshed {

void BatchTable::load(const PartitionId& partition, std::uint64_t epoch) {
  OwnedBatches& owned = partitions_[partition];
  owned = OwnedBatches();
  owned.epoch = epoch;
  store_.forEach(partition, kMetaPrefix, [&](std::string_view key, const std::string& value) {
    loadBatch(partition, owned, batchIdOfKey(key), value);
    return true;
  });
}

void BatchTable::loadBatch(const PartitionId& partition, OwnedBatches& owned,
                           const std::string& batchId, const std::string& metaRow) {
  Result<BatchMeta> meta = decodeRecord<BatchMeta>(metaRow);
  if (!meta) {
    context_.counters().add("batch_rows_corrupt_total");
    return;
  }
  owned.bodyBytes += meta.value().bodyBytes;
  BatchState& batch =
      owned.batches.emplace(batchId, BatchState(batchId, std::move(meta).value())).first->second;
  batch.committed = true;
  batch.lastHeartbeat = context_.now();
  batch.acceptedAt = context_.now();
  if (loadFinished(partition, batch)) {
    return;
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

bool BatchTable::loadFinished(const PartitionId& partition, BatchState& batch) {
  const auto final = store_.get(partition, finalKey(batch.id()));
  if (!final) {
    return false;
  }
  const Result<BatchStatus> status = decodeRecord<BatchStatus>(*final);
  if (!status) {
    return false;
  }
  if (batch.listsByCompletion()) {
    loadItems(partition, batch);
  }
  batch.setFinished(status.value());
  batch.finishedAt = context_.now();
  return true;
}

void BatchTable::loadItems(const PartitionId& partition, BatchState& batch) {
  store_.forEach(partition, itemPrefix(batch.id()),
                 [&](std::string_view key, const std::string& value) {
                   const std::uint64_t position = positionOfItemKey(key);
                   const Result<ItemRecord> record = decodeRecord<ItemRecord>(value);
                   if (!record || position >= batch.meta().itemCount) {
                     context_.counters().add("batch_rows_corrupt_total");
                     return true;
                   }
                   const ItemRecord& item = record.value();
                   batch.apply(position, item);
                   if (item.state == ItemState::Started && item.runEpoch == batch.run.epoch) {
                     batch.runnerIncarnation = item.incarnation;
                   }
                   return true;
                 });
  batch.unranked = batch.dropRanksAfterGap();
}

OwnedBatches* BatchTable::owned(const std::string& batchId) {
  const PartitionId partition = partitionOfBatch(batchId);
  const auto found = partitions_.find(partition);
  if (found == partitions_.end() || !store_.owns(partition)) {
    return nullptr;
  }
  return &found->second;
}

OwnedBatches* BatchTable::owned(const PartitionId& partition, std::uint64_t epoch) {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() || found->second.epoch != epoch ? nullptr : &found->second;
}

BatchState* BatchTable::find(const std::string& batchId) {
  OwnedBatches* partition = owned(batchId);
  if (partition == nullptr) {
    return nullptr;
  }
  const auto found = partition->batches.find(batchId);
  return found == partition->batches.end() ? nullptr : &found->second;
}

}  // namespace shedshed

#include "batch/batch_retention.h"

namespace shedshed {

void BatchRetention::load(const PartitionId& partition) {
  Deletions& deletions = partitions_[partition];
  deletions.clear();
  for (const char* prefix : {kUploadPrefix, kExpiredPrefix}) {
    store_.forEach(partition, prefix, [&](std::string_view key, const std::string& value) {
      const Result<PendingDeletionRecord> record = decodeRecord<PendingDeletionRecord>(value);
      if (record) {
        deletions[batchIdOfKey(key)].record = record.value();
      }
      return true;
    });
  }
}

bool BatchRetention::isPending(const std::string& batchId) const {
  const auto deletions = partitions_.find(partitionOfBatch(batchId));
  return deletions != partitions_.end() && deletions->second.count(batchId) != 0;
}

void BatchRetention::deleteUpload(const PartitionId& partition, const std::string& batchId,
                                  std::uint64_t chunks) {
  partitions_[partition][batchId].record = PendingDeletionRecord{chunks, 0};
}

void BatchRetention::expire(const PartitionId& partition) {
  deleteExpired(partition);
  Deletions& deletions = partitions_[partition];
  std::vector<std::string> ready;
  for (const auto& [batchId, deletion] : deletions) {
    if (!deletion.writing) {
      ready.push_back(batchId);
    }
  }
  for (const std::string& batchId : ready) {
    eraseStep(partition, batchId, deletions[batchId]);
  }
}

void BatchRetention::deleteExpired(const PartitionId& partition) {
  const Time now = context_.now();
  std::vector<std::string> expired;
  for (const auto& [batchId, batch] : table_.partitions().at(partition).batches) {
    if (batch.finished() && now - batch.finishedAt >= retention_) {
      expired.push_back(batchId);
    }
  }
  for (const std::string& batchId : expired) {
    deleteBatch(partition, batchId);
  }
}

void BatchRetention::deleteBatch(const PartitionId& partition, const std::string& batchId,
                                 std::function<void()> deleted) {
  OwnedBatches& owned = table_.partitions().at(partition);
  const auto found = owned.batches.find(batchId);
  if (found == owned.batches.end()) {
    return;
  }
  const BatchMeta& meta = found->second.meta();
  const PendingDeletionRecord record{meta.chunkPositions.size(), meta.itemCount};
  owned.bodyBytes -= meta.bodyBytes;
  owned.batches.erase(found);
  PendingDeletion& deletion = partitions_[partition][batchId];
  deletion.record = record;
  deletion.writing = true;
  std::vector<TableEntry> entries;
  entries.push_back({expiredKey(batchId), encodeRecord(record)});
  for (const std::string& key : {metaKey(batchId), runKey(batchId), cancelKey(batchId),
                                 finalKey(batchId), uploadKey(batchId)}) {
    entries.push_back({key, std::nullopt});
  }
  writer_.write(partition, std::move(entries),
                [this, partition, batchId, deleted = std::move(deleted)] {
                  stepWritten(partition, batchId);
                  if (deleted) {
                    deleted();
                  }
                });
}

void BatchRetention::eraseStep(const PartitionId& partition, const std::string& batchId,
                               PendingDeletion& deletion) {
  std::vector<TableEntry> entries;
  const PendingDeletionRecord& record = deletion.record;
  while (deletion.erasedChunks < record.chunks && entries.size() < maxErasedRowsPerWrite_) {
    entries.push_back({bodyKey(batchId, deletion.erasedChunks++), std::nullopt});
  }
  while (deletion.erasedItems < record.items && entries.size() < maxErasedRowsPerWrite_) {
    entries.push_back({itemKey(batchId, deletion.erasedItems++), std::nullopt});
  }
  const bool last = deletion.erasedChunks == record.chunks && deletion.erasedItems == record.items;
  if (last) {
    entries.push_back({uploadKey(batchId), std::nullopt});
    entries.push_back({expiredKey(batchId), std::nullopt});
  }
  deletion.writing = true;
  writer_.write(partition, std::move(entries), [this, partition, batchId, last] {
    if (last) {
      partitions_[partition].erase(batchId);
      return;
    }
    stepWritten(partition, batchId);
  });
}

void BatchRetention::stepWritten(const PartitionId& partition, const std::string& batchId) {
  Deletions& deletions = partitions_[partition];
  const auto found = deletions.find(batchId);
  if (found != deletions.end()) {
    found->second.writing = false;
  }
}

}  // namespace shedshed

/// Erasing of finished batches and of submissions that never committed, in bounded steps.
#include "batch/batch_owner_core.h"

#include <iterator>

namespace shedshed {

void BatchOwnerCore::expire(const PartitionId& partition, Owned& owned) {
  const Time now = context_.now();
  std::vector<std::string> uploads;
  for (const auto& entry : owned.uploads) {
    if (now - entry.second.lastProgress >= options_.uploadTimeout) {
      uploads.push_back(entry.first);
    }
  }
  for (const std::string& batchId : uploads) {
    context_.counters().add("batch_uploads_expired_total");
    abandonUpload(batchId, owned);
  }
  std::vector<std::string> batches;
  for (const auto& entry : owned.batches) {
    if (entry.second.finished() && now - entry.second.finishedAt >= options_.retention) {
      batches.push_back(entry.first);
    }
  }
  for (const std::string& batchId : batches) {
    eraseBatch(partition, owned, batchId);
  }
  for (auto it = owned.rejected.begin(); it != owned.rejected.end();) {
    it = now - it->second.at >= options_.rejectionRetention ? owned.rejected.erase(it)
                                                            : std::next(it);
  }
  std::vector<std::string> erasable;
  for (const auto& entry : owned.pendingDeletions) {
    if (!entry.second.writing) {
      erasable.push_back(entry.first);
    }
  }
  for (const std::string& batchId : erasable) {
    eraseStep(partition, batchId, owned.pendingDeletions[batchId]);
  }
}

void BatchOwnerCore::eraseBatch(const PartitionId& partition, Owned& owned,
                                const std::string& batchId, std::function<void()> erased) {
  const auto found = owned.batches.find(batchId);
  if (found == owned.batches.end()) {
    return;
  }
  const BatchMeta& meta = found->second.meta();
  const PendingDeletionRecord record{meta.chunkPositions.size(), meta.itemCount};
  owned.bodyBytes -= meta.bodyBytes;
  owned.batches.erase(found);
  PendingDeletion& pendingDeletions = owned.pendingDeletions[batchId];
  pendingDeletions.record = record;
  pendingDeletions.writing = true;
  // One atomic step takes the batch away as a whole: nobody ever reads a part of it.
  std::vector<TableEntry> entries;
  entries.push_back({expiredKey(batchId), encodeRecord(record)});
  for (const std::string& key : {metaKey(batchId), runKey(batchId), cancelKey(batchId),
                                 finalKey(batchId), uploadKey(batchId)}) {
    entries.push_back({key, std::nullopt});
  }
  writeUntilDurable(partition, std::move(entries),
                    [this, partition, batchId, erased = std::move(erased)] {
                      auto& current = owned_.find(partition)->second.pendingDeletions;
                      const auto rows = current.find(batchId);
                      if (rows != current.end()) {
                        rows->second.writing = false;
                      }
                      if (erased) {
                        erased();
                      }
                    });
}

void BatchOwnerCore::eraseStep(const PartitionId& partition, const std::string& batchId,
                               PendingDeletion& pendingDeletions) {
  std::vector<TableEntry> entries;
  const PendingDeletionRecord& record = pendingDeletions.record;
  while (pendingDeletions.erasedChunks < record.chunks && entries.size() < options_.erasePerWrite) {
    entries.push_back({bodyKey(batchId, pendingDeletions.erasedChunks++), std::nullopt});
  }
  while (pendingDeletions.erasedItems < record.items && entries.size() < options_.erasePerWrite) {
    entries.push_back({itemKey(batchId, pendingDeletions.erasedItems++), std::nullopt});
  }
  const bool last = pendingDeletions.erasedChunks == record.chunks &&
                    pendingDeletions.erasedItems == record.items;
  if (last) {
    entries.push_back({uploadKey(batchId), std::nullopt});
    entries.push_back({expiredKey(batchId), std::nullopt});
  }
  pendingDeletions.writing = true;
  writeUntilDurable(partition, std::move(entries), [this, partition, batchId, last] {
    if (last) {
      deletionFinished(partition, batchId);
      return;
    }
    auto& current = owned_.find(partition)->second.pendingDeletions;
    const auto found = current.find(batchId);
    if (found != current.end()) {
      found->second.writing = false;
    }
  });
}

void BatchOwnerCore::deletionFinished(const PartitionId& partition, const std::string& batchId) {
  owned_.find(partition)->second.pendingDeletions.erase(batchId);
}

}  // namespace shedshed

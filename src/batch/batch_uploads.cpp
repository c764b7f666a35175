#include "batch/batch_uploads.h"

#include <iterator>

namespace shedshed {
namespace {

/// Tells the sender which chunk to send next.
BatchReply nextChunkReply(std::uint64_t request, std::uint64_t nextChunk) {
  BatchReply reply;
  reply.request = request;
  reply.nextChunk = nextChunk;
  return reply;
}

}  // namespace

void BatchUploads::onSubmit(const NodeId& from, SubmitChunk chunk) {
  if (table_.owned(chunk.batchId) == nullptr) {
    responder_.redirect(from, requestIdOf(chunk), chunk.batchId);
    return;
  }
  Partition& partition = partitions_[partitionOfBatch(chunk.batchId)];
  if (answerWithoutUpload(from, chunk, partition)) {
    return;
  }
  BatchUpload* upload = uploadFor(from, chunk, partition);
  if (upload == nullptr) {
    return;
  }
  if (upload->pendingCommit && chunk.last) {
    chunk.items.clear();
    upload->pendingCommit->duplicates.emplace_back(from, std::move(chunk));
    return;
  }
  if (chunk.chunk != upload->chunks()) {
    responder_.reply(from, nextChunkReply(chunk.request, upload->durableChunks));
    return;
  }
  if (!hasSpaceFor(partition, chunk, *upload)) {
    rejectPermanently(from, requestIdOf(chunk), ErrorCode::StorageFull, partition);
    abandonUpload(chunk.batchId, partition);
    return;
  }
  if (chunk.last && reservations_.isLimited(chunk.route)) {
    reserve(from, std::move(chunk), *upload);
  } else if (chunk.last) {
    commitChunk(from, std::move(chunk), *upload);
  } else {
    storeChunk(from, std::move(chunk), *upload);
  }
}

bool BatchUploads::answerWithoutUpload(const NodeId& from, const SubmitChunk& chunk,
                                       const Partition& partition) {
  if (BatchState* batch = table_.find(chunk.batchId)) {
    answerCommitted(from, chunk, *batch, true);
    return true;
  }
  const auto rejected = partition.rejected.find({from, chunk.request});
  if (rejected != partition.rejected.end()) {
    responder_.reject(from, requestIdOf(chunk), rejected->second.code);
    return true;
  }
  if (retention_.isPending(chunk.batchId)) {
    // Rows of an earlier batch or submission with this id are still being erased.
    responder_.reject(from, requestIdOf(chunk), ErrorCode::NotReady);
    return true;
  }
  return false;
}

void BatchUploads::answerCommitted(const NodeId& from, const SubmitChunk& chunk, BatchState& batch,
                                   bool resent) {
  if (!batch.committed && options_.safeguards.acceptAfterMajority) {
    // The commit is in flight; its outcome determines the reply to this resend.
    batch.commitWaiters.push_back([this, from, chunk, resent] {
      if (BatchState* committedBatch = table_.find(chunk.batchId)) {
        answerCommitted(from, chunk, *committedBatch, resent);
      }
    });
    return;
  }
  if (!hasSameContent(batch.meta(), chunk)) {
    responder_.reject(from, requestIdOf(chunk), ErrorCode::AlreadyExists);
    return;
  }
  BatchReply answer = nextChunkReply(chunk.request, batch.meta().chunkPositions.size());
  answer.committed = true;
  answer.status = batch.status();
  answer.status.resent = resent;
  responder_.reply(from, answer);
}

BatchUpload* BatchUploads::uploadFor(const NodeId& from, const SubmitChunk& chunk,
                                     Partition& partition) {
  const auto found = partition.uploads.find(chunk.batchId);
  if (found != partition.uploads.end()) {
    if (!hasSameContent(found->second.meta(), chunk)) {
      // Another submission with the same client key has not committed yet. Neither is rejected
      // permanently until one of them has committed.
      responder_.reject(from, requestIdOf(chunk), ErrorCode::NotReady);
      return nullptr;
    }
    return &found->second;
  }
  if (chunk.itemCount > settings_.effective(chunk.tenant).maxBatchItems) {
    responder_.reject(from, requestIdOf(chunk), ErrorCode::TooLarge,
                      "items: more than max_batch_items");
    return nullptr;
  }
  if (chunk.chunk != 0) {
    responder_.reply(from, nextChunkReply(chunk.request, 0));
    return nullptr;
  }
  return &partition.uploads.emplace(chunk.batchId, BatchUpload(chunk, context_.now()))
              .first->second;
}

bool BatchUploads::hasSpaceFor(const Partition& partition, const SubmitChunk& chunk,
                               const BatchUpload& upload) const {
  std::uint64_t bytes = table_.owned(chunk.batchId)->bodyBytes + upload.meta().bodyBytes;
  for (const auto& other : partition.uploads) {
    bytes += &other.second == &upload ? 0 : other.second.meta().bodyBytes;
  }
  return store_.canAcceptNewData(partitionOfBatch(chunk.batchId)) &&
         bytes + bytesOf(chunk.items) <= options_.maxPartitionBodyBytes;
}

void BatchUploads::storeChunk(const NodeId& from, SubmitChunk chunk, BatchUpload& upload) {
  const PartitionId partition = partitionOfBatch(chunk.batchId);
  const std::uint64_t index = chunk.chunk;
  upload.append(chunk, context_.now());
  std::vector<TableEntry> entries;
  // The upload marker is written atomically with the chunk it covers, so that no row is orphaned.
  entries.push_back({uploadKey(chunk.batchId), encodeRecord(PendingDeletionRecord{index + 1, 0})});
  entries.push_back(
      {bodyKey(chunk.batchId, index), encodeRecord(BodyChunk{std::move(chunk.items)})});
  store_.write(partition, std::move(entries),
               [this, from, partition, epoch = table_.owned(chunk.batchId)->epoch,
                request = requestIdOf(chunk), batchId = chunk.batchId,
                index](const Status& status) {
                 if (table_.owned(partition, epoch) != nullptr) {
                   chunkWritten(from, request, batchId, index, status);
                 }
               });
}

void BatchUploads::chunkWritten(const NodeId& from, RequestId request, const std::string& batchId,
                                std::uint64_t index, const Status& status) {
  Partition& partition = partitions_[partitionOfBatch(batchId)];
  if (!status) {
    rejectPermanently(from, request, status.error().code, partition);
    abandonUpload(batchId, partition);
    return;
  }
  const auto found = partition.uploads.find(batchId);
  if (found == partition.uploads.end()) {
    return;
  }
  found->second.durableChunks = index + 1;
  responder_.reply(from, nextChunkReply(request.number, index + 1));
}

void BatchUploads::reserve(const NodeId& from, SubmitChunk chunk, BatchUpload& upload) {
  const PartitionId partition = partitionOfBatch(chunk.batchId);
  const TokenAccount account{upload.meta().tenant, upload.meta().route};
  QueuedBatch batch{chunk.batchId, account, upload.tokensWith(chunk)};
  upload.pendingCommit = PendingCommit{from, std::move(chunk), {}};
  reservations_.reserve(partition, std::move(batch));
}

void BatchUploads::reservationGranted(const PartitionId& partition, const std::string& batchId) {
  BatchUpload& upload = partitions_[partition].uploads.at(batchId);
  PendingCommit pending = std::move(*upload.pendingCommit);
  upload.pendingCommit.reset();
  commitChunk(pending.from, std::move(pending.chunk), upload);
  BatchState* batch = table_.find(batchId);
  for (const auto& [from, chunk] : pending.duplicates) {
    if (batch != nullptr) {
      answerCommitted(from, chunk, *batch, true);
    } else {
      responder_.reject(from, requestIdOf(chunk), ErrorCode::NotReady);
    }
  }
}

void BatchUploads::reservationRejected(const PartitionId& partition, const std::string& batchId,
                                       ErrorCode code) {
  Partition& owned = partitions_[partition];
  const PendingCommit pending = std::move(*owned.uploads.at(batchId).pendingCommit);
  context_.counters().add("batches_rejected_for_queued_tokens_total");
  abandonUpload(batchId, owned);
  rejectPermanently(pending.from, requestIdOf(pending.chunk), code, owned);
  for (const auto& [from, chunk] : pending.duplicates) {
    rejectPermanently(from, requestIdOf(chunk), code, owned);
  }
}

void BatchUploads::commitChunk(const NodeId& from, SubmitChunk chunk, BatchUpload& upload) {
  upload.append(chunk, context_.now());
  Partition& partition = partitions_[partitionOfBatch(chunk.batchId)];
  if (!upload.isComplete(chunk)) {
    responder_.reject(from, requestIdOf(chunk), ErrorCode::InvalidArgument,
                      "items do not match the digest");
    abandonUpload(chunk.batchId, partition);
    return;
  }
  BatchMeta meta = upload.meta();
  partition.uploads.erase(chunk.batchId);
  writeCommit(from, std::move(chunk), std::move(meta));
}

void BatchUploads::writeCommit(const NodeId& from, SubmitChunk chunk, BatchMeta meta) {
  const std::string batchId = chunk.batchId;
  std::vector<TableEntry> entries;
  entries.push_back(
      {bodyKey(batchId, chunk.chunk), encodeRecord(BodyChunk{std::move(chunk.items)})});
  entries.push_back({metaKey(batchId), encodeRecord(meta)});
  entries.push_back({uploadKey(batchId), std::nullopt});
  OwnedBatches& owned = *table_.owned(batchId);
  owned.bodyBytes += meta.bodyBytes;
  BatchState& batch =
      owned.batches.emplace(batchId, BatchState(batchId, std::move(meta))).first->second;
  batch.lastHeartbeat = context_.now();
  batch.acceptedAt = context_.now();
  chunk.items.clear();
  answerCommitted(from, chunk, batch, false);
  store_.write(partitionOfBatch(batchId), std::move(entries),
               [this, from, request = requestIdOf(chunk), batchId,
                epoch = owned.epoch](const Status& status) {
                 if (table_.owned(partitionOfBatch(batchId), epoch) != nullptr) {
                   commitWritten(from, request, batchId, epoch, status);
                 }
               });
}

void BatchUploads::commitWritten(const NodeId& from, RequestId request, const std::string& batchId,
                                 std::uint64_t epoch, const Status& status) {
  if (status) {
    committed(batchId);
    return;
  }
  const ErrorCode code = status.error().code;
  if (code == ErrorCode::NotOwner) {
    return;
  }
  const PartitionId partition = partitionOfBatch(batchId);
  retention_.deleteBatch(partition, batchId, [this, from, partition, epoch, code, request] {
    if (table_.owned(partition, epoch) != nullptr) {
      rejectPermanently(from, request, code, partitions_[partition]);
    }
  });
}

void BatchUploads::committed(const std::string& batchId) {
  BatchState* batch = table_.find(batchId);
  if (batch == nullptr) {
    return;
  }
  batch->committed = true;
  context_.counters().add("batches_accepted_total");
  const std::vector<std::function<void()>> waiters = std::exchange(batch->commitWaiters, {});
  for (const auto& waiter : waiters) {
    waiter();
  }
  runs_.supervise(*batch);
}

void BatchUploads::rejectPermanently(const NodeId& from, RequestId request, ErrorCode code,
                                     Partition& partition) {
  partition.rejected[{from, request.number}] = {context_.now(), code};
  responder_.reject(from, request, code);
}

void BatchUploads::abandonUpload(const std::string& batchId, Partition& partition) {
  const auto found = partition.uploads.find(batchId);
  if (found == partition.uploads.end()) {
    return;
  }
  const PartitionId id = partitionOfBatch(batchId);
  const std::uint64_t chunks = found->second.chunks();
  partition.uploads.erase(found);
  reservations_.cancel(id, batchId);
  if (chunks != 0) {
    retention_.deleteUpload(id, batchId, chunks);
  }
}

void BatchUploads::expire(const PartitionId& partition) {
  Partition& owned = partitions_[partition];
  const Time now = context_.now();
  std::vector<std::string> expired;
  for (const auto& [batchId, upload] : owned.uploads) {
    if (now - upload.lastProgress >= options_.uploadTimeout) {
      expired.push_back(batchId);
    }
  }
  for (const std::string& batchId : expired) {
    context_.counters().add("batch_uploads_expired_total");
    abandonUpload(batchId, owned);
  }
  for (auto it = owned.rejected.begin(); it != owned.rejected.end();) {
    it = now - it->second.at >= options_.rejectionRetention ? owned.rejected.erase(it)
                                                            : std::next(it);
  }
}

}  // namespace shedshed

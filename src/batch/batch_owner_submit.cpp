/// Submissions: chunks, then the commit record.
#include "batch/batch_owner_core.h"

namespace shedshed {
namespace {

std::uint64_t bytesOf(const std::vector<std::string>& items) {
  std::uint64_t bytes = 0;
  for (const std::string& item : items) {
    bytes += item.size();
  }
  return bytes;
}

void appendItemFacts(BatchMeta& meta, const SubmitChunk& chunk) {
  meta.names.insert(meta.names.end(), chunk.names.begin(), chunk.names.end());
  meta.tokens.insert(meta.tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
}

bool sameContent(const BatchMeta& meta, const SubmitChunk& chunk) {
  return meta.tenant == chunk.tenant && meta.idempotent == chunk.idempotent &&
         meta.itemCount == chunk.itemCount && meta.digest == chunk.digest;
}

}  // namespace

void BatchOwnerCore::onSubmit(const NodeId& from, SubmitChunk chunk) {
  Owned* owned = ownedOf(chunk.batchId);
  if (owned == nullptr) {
    redirect(from, {chunk.request, chunk.transmission}, chunk.batchId);
    return;
  }
  if (BatchState* batch = find(chunk.batchId)) {
    answerCommitted(from, chunk, *batch, true);
    return;
  }
  const auto rejected = owned->rejected.find({from, chunk.request});
  if (rejected != owned->rejected.end()) {
    reject(from, {chunk.request, chunk.transmission}, rejected->second.code);
    return;
  }
  if (owned->pendingDeletions.count(chunk.batchId) != 0) {
    // Rows of an earlier batch or submission under this id are still being erased.
    reject(from, {chunk.request, chunk.transmission}, ErrorCode::NotReady);
    return;
  }
  Upload* upload = uploadFor(from, chunk, *owned);
  if (upload == nullptr) {
    return;
  }
  if (upload->reservation && chunk.last) {
    joinReservation(from, chunk, *upload->reservation);
    return;
  }
  if (chunk.chunk != upload->meta.chunkPositions.size()) {
    BatchReply answer;
    answer.request = chunk.request;
    answer.nextChunk = upload->durableChunks;
    reply(from, std::move(answer));
    return;
  }
  if (!admits(*owned, chunk, *upload)) {
    rejectPermanently(from, {chunk.request, chunk.transmission}, ErrorCode::StorageFull, *owned);
    abandonUpload(chunk.batchId, *owned);
    return;
  }
  if (chunk.last && needsReservation(chunk)) {
    reserve(from, std::move(chunk), *upload);
  } else if (chunk.last) {
    commitChunk(from, std::move(chunk), *owned, *upload);
  } else {
    storeChunk(from, std::move(chunk), *owned, *upload);
  }
}

void BatchOwnerCore::answerCommitted(const NodeId& from, const SubmitChunk& chunk,
                                     BatchState& batch, bool resent) {
  if (!batch.committed && options_.safeguards.acceptAfterMajority) {
    // The commit is on its way: its outcome decides what this resend is told.
    batch.commitWaiters.push_back([this, from, chunk, resent] {
      if (BatchState* committedBatch = find(chunk.batchId)) {
        answerCommitted(from, chunk, *committedBatch, resent);
      }
    });
    return;
  }
  if (!sameContent(batch.meta(), chunk)) {
    reject(from, {chunk.request, chunk.transmission}, ErrorCode::AlreadyExists);
    return;
  }
  BatchReply answer;
  answer.request = chunk.request;
  answer.committed = true;
  answer.nextChunk = batch.meta().chunkPositions.size();
  answer.status = batch.status();
  answer.status.resent = resent;
  reply(from, std::move(answer));
}

BatchOwnerCore::Upload* BatchOwnerCore::uploadFor(const NodeId& from, const SubmitChunk& chunk,
                                                  Owned& owned) {
  const auto found = owned.uploads.find(chunk.batchId);
  if (found != owned.uploads.end()) {
    if (!sameContent(found->second.meta, chunk)) {
      // Another submission under the same client key has not committed yet: neither is refused
      // for good before one of them has.
      reject(from, {chunk.request, chunk.transmission}, ErrorCode::NotReady);
      return nullptr;
    }
    return &found->second;
  }
  if (chunk.itemCount > settings_.effective(chunk.tenant).maxBatchItems) {
    reject(from, {chunk.request, chunk.transmission}, ErrorCode::TooLarge,
           "items: more than max_batch_items");
    return nullptr;
  }
  if (chunk.chunk != 0) {
    BatchReply answer;
    answer.request = chunk.request;
    reply(from, std::move(answer));
    return nullptr;
  }
  Upload& upload = owned.uploads[chunk.batchId];
  upload.meta.tenant = chunk.tenant;
  upload.meta.idempotent = chunk.idempotent;
  upload.meta.itemCount = chunk.itemCount;
  upload.meta.digest = chunk.digest;
  upload.meta.route = chunk.route;
  upload.lastProgress = context_.now();
  return &upload;
}

bool BatchOwnerCore::admits(const Owned& owned, const SubmitChunk& chunk,
                            const Upload& upload) const {
  std::uint64_t uploading = upload.meta.bodyBytes;
  for (const auto& other : owned.uploads) {
    uploading += &other.second == &upload ? 0 : other.second.meta.bodyBytes;
  }
  const PartitionId partition = partitionOf(TableKind::Batches, chunk.batchId);
  return store_.takesNewData(partition) &&
         owned.bodyBytes + uploading + bytesOf(chunk.items) <= options_.maxPartitionBodyBytes;
}

void BatchOwnerCore::storeChunk(const NodeId& from, SubmitChunk chunk, Owned& owned,
                                Upload& upload) {
  const PartitionId partition = partitionOf(TableKind::Batches, chunk.batchId);
  const std::uint64_t index = chunk.chunk;
  appendItemHashes(upload.hashes, chunk.items);
  appendItemFacts(upload.meta, chunk);
  upload.meta.chunkPositions.push_back(upload.stored);
  upload.meta.bodyBytes += bytesOf(chunk.items);
  upload.stored += chunk.items.size();
  upload.lastProgress = context_.now();
  std::vector<TableEntry> entries;
  // The marker covers this chunk before the chunk can exist, so that no row is ever orphaned.
  entries.push_back({uploadKey(chunk.batchId), encodeRecord(PendingDeletionRecord{index + 1, 0})});
  entries.push_back(
      {bodyKey(chunk.batchId, index), encodeRecord(BodyChunk{std::move(chunk.items)})});
  const std::uint64_t epoch = owned.epoch;
  const RequestId request{chunk.request, chunk.transmission};
  const std::string batchId = chunk.batchId;
  store_.write(partition, std::move(entries),
               [this, from, partition, epoch, request, batchId, index](const Status& status) {
                 Owned* current = ownedOf(partition, epoch);
                 if (current == nullptr) {
                   return;
                 }
                 if (!status) {
                   rejectPermanently(from, request, status.error().code, *current);
                   abandonUpload(batchId, *current);
                   return;
                 }
                 const auto found = current->uploads.find(batchId);
                 if (found == current->uploads.end()) {
                   return;
                 }
                 found->second.durableChunks = index + 1;
                 BatchReply answer;
                 answer.request = request.number;
                 answer.nextChunk = index + 1;
                 reply(from, std::move(answer));
               });
}

void BatchOwnerCore::commitChunk(const NodeId& from, SubmitChunk chunk, Owned& owned,
                                 Upload& upload) {
  appendItemHashes(upload.hashes, chunk.items);
  appendItemFacts(upload.meta, chunk);
  upload.meta.chunkPositions.push_back(upload.stored);
  upload.meta.bodyBytes += bytesOf(chunk.items);
  const std::uint64_t items = upload.stored + chunk.items.size();
  const bool named =
      upload.meta.names.empty() || (upload.meta.names.size() == items && items <= kMaxNamedItems);
  if (items != chunk.itemCount || items == 0 || !named ||
      itemsDigest(upload.hashes) != chunk.digest) {
    reject(from, {chunk.request, chunk.transmission}, ErrorCode::InvalidArgument,
           "items do not match the digest");
    abandonUpload(chunk.batchId, owned);
    return;
  }
  const PartitionId partition = partitionOf(TableKind::Batches, chunk.batchId);
  const std::string batchId = chunk.batchId;
  BatchMeta meta = upload.meta;
  std::vector<TableEntry> entries;
  entries.push_back(
      {bodyKey(batchId, chunk.chunk), encodeRecord(BodyChunk{std::move(chunk.items)})});
  entries.push_back({metaKey(batchId), encodeRecord(meta)});
  entries.push_back({uploadKey(batchId), std::nullopt});
  owned.uploads.erase(batchId);
  owned.bodyBytes += meta.bodyBytes;
  BatchState& batch =
      owned.batches.emplace(batchId, BatchState(batchId, std::move(meta))).first->second;
  batch.lastHeartbeat = context_.now();
  batch.acceptedAt = context_.now();
  chunk.items.clear();
  answerCommitted(from, chunk, batch, false);
  const std::uint64_t epoch = owned.epoch;
  store_.write(partition, std::move(entries),
               [this, from, partition, epoch, chunk = std::move(chunk)](const Status& status) {
                 Owned* current = ownedOf(partition, epoch);
                 if (current == nullptr) {
                   return;
                 }
                 if (status) {
                   committed(chunk.batchId);
                   return;
                 }
                 const ErrorCode code = status.error().code;
                 if (code == ErrorCode::NotOwner) {
                   return;
                 }
                 // The commit may have survived on a replica. It is refused only once its erasure
                 // is durable: until then nobody can say that it will not run.
                 eraseBatch(partition, *current, chunk.batchId,
                            [this, from, partition, epoch, code,
                             request = RequestId{chunk.request, chunk.transmission}] {
                              if (Owned* erasing = ownedOf(partition, epoch)) {
                                rejectPermanently(from, request, code, *erasing);
                              }
                            });
               });
}

void BatchOwnerCore::committed(const std::string& batchId) {
  BatchState* batch = find(batchId);
  if (batch == nullptr) {
    return;
  }
  batch->committed = true;
  context_.counters().add("batches_accepted_total");
  std::vector<std::function<void()>> waiters = std::move(batch->commitWaiters);
  batch->commitWaiters.clear();
  for (const auto& waiter : waiters) {
    waiter();
  }
  superviseRun(*batch);
}

void BatchOwnerCore::rejectPermanently(const NodeId& from, RequestId request, ErrorCode code,
                                       Owned& owned) {
  owned.rejected[{from, request.number}] = {context_.now(), code};
  reject(from, request, code);
}

void BatchOwnerCore::abandonUpload(const std::string& batchId, Owned& owned) {
  const auto found = owned.uploads.find(batchId);
  if (found == owned.uploads.end()) {
    return;
  }
  const std::uint64_t chunks = found->second.meta.chunkPositions.size();
  owned.uploads.erase(found);
  if (chunks == 0) {
    return;
  }
  owned.pendingDeletions[batchId].record = PendingDeletionRecord{chunks, 0};
}

}  // namespace shedshed

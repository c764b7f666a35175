/// Reads and cancels.
#include "batch/batch_owner_core.h"

#include <algorithm>

namespace shedshed {

void BatchOwnerCore::reply(const NodeId& to, BatchReply reply) {
  context_.send(to, reply);
}

void BatchOwnerCore::reject(const NodeId& to, RequestId request, ErrorCode code,
                            std::string detail) {
  BatchReply answer;
  answer.request = request.number;
  answer.transmission = request.transmission;
  answer.code = wireCode(code);
  answer.detail = std::move(detail);
  reply(to, std::move(answer));
}

void BatchOwnerCore::redirect(const NodeId& to, RequestId request, const std::string& batchId) {
  BatchReply answer;
  answer.request = request.number;
  answer.transmission = request.transmission;
  answer.code = wireCode(ErrorCode::NotOwner);
  answer.owner = store_.ownerHint(partitionOf(TableKind::Batches, batchId));
  reply(to, std::move(answer));
}

void BatchOwnerCore::onQuery(const NodeId& from, BatchQuery query) {
  if (ownedOf(query.batchId) == nullptr) {
    redirect(from, {query.request}, query.batchId);
    return;
  }
  const auto kind = static_cast<BatchQueryKind>(query.kind);
  const BatchState* batch = find(query.batchId);
  const bool known = batch != nullptr && batch->committed;
  // Durable results never change, so they need no proof; but a fenced owner would list fewer of
  // those in the order of completion than were read before. Nor does what a mutation test leaves
  // out.
  const bool stays = kind == BatchQueryKind::Results && known && !batch->listsByCompletion();
  const bool proofNeeded = known ? !stays : options_.safeguards.confirmNotFound;
  if (!proofNeeded) {
    answerQuery(from, query);
    return;
  }
  const PartitionId partition = partitionOf(TableKind::Batches, query.batchId);
  store_.confirmOwnership(partition, [this, from, query](const Status& status) {
    if (!status) {
      redirect(from, {query.request}, query.batchId);
      return;
    }
    answerQuery(from, query);
  });
}

BatchState* BatchOwnerCore::visibleBatch(const BatchQuery& query, BatchReply& reply) {
  BatchState* batch = find(query.batchId);
  if (batch == nullptr || batch->meta().tenant != query.tenant) {
    const bool owner = ownedOf(query.batchId) != nullptr;
    reply.code = wireCode(owner ? ErrorCode::NotFound : ErrorCode::NotOwner);
    return nullptr;
  }
  if (!batch->committed) {
    reply.code = wireCode(ErrorCode::NotReady);
    return nullptr;
  }
  return batch;
}

void BatchOwnerCore::answerQuery(const NodeId& from, const BatchQuery& query) {
  BatchReply answer;
  answer.request = query.request;
  BatchState* batch = visibleBatch(query, answer);
  if (batch == nullptr) {
    reply(from, std::move(answer));
    return;
  }
  switch (static_cast<BatchQueryKind>(query.kind)) {
  case BatchQueryKind::Status:
    answer.status = batch->status();
    break;
  case BatchQueryKind::Results:
    answer.page = resultPage(*batch, query.from, query.limit);
    break;
  case BatchQueryKind::Unfinished:
    answer.unfinished = unfinishedItems(*batch, query.from, query.limit);
    break;
  case BatchQueryKind::ItemBody:
    answerItemBody(*batch, query, answer);
    break;
  case BatchQueryKind::Cancel:
    cancelBatch(query.batchId, [this, from, query] {
      BatchReply done;
      done.request = query.request;
      if (const BatchState* cancelled = visibleBatch(query, done)) {
        done.status = cancelled->status();
      }
      reply(from, std::move(done));
    });
    return;
  default:
    answer.code = wireCode(ErrorCode::InvalidArgument);
    break;
  }
  reply(from, std::move(answer));
}

void BatchOwnerCore::answerItemBody(const BatchState& batch, const BatchQuery& query,
                                    BatchReply& answer) const {
  const std::vector<std::string>& names = batch.meta().names;
  const auto found = std::find(names.begin(), names.end(), query.name);
  if (found != names.end()) {
    const auto position = static_cast<std::uint64_t>(found - names.begin());
    answer.unfinished = unfinishedItems(batch, position, 1);
  }
  const bool same =
      !answer.unfinished.empty() && names[answer.unfinished.front().position] == query.name;
  if (!same) {
    answer.unfinished.clear();
    answer.code = wireCode(ErrorCode::NotFound);
  }
}

bool BatchOwnerCore::readResult(const BatchState& batch, std::uint64_t position,
                                ItemResult& result) const {
  if (!batch.finished() && !isFinal(batch.state(position))) {
    return false;
  }
  result.position = position;
  if (!batch.meta().names.empty()) {
    result.name = batch.meta().names[position];
  }
  result.state = ItemState::Cancelled;
  const PartitionId partition = partitionOf(TableKind::Batches, batch.id());
  const auto row = store_.get(partition, itemKey(batch.id(), position));
  if (!row) {
    // Only an item that was cancelled before it started has a final state without a row.
    return batch.cancelled();
  }
  Result<ItemRecord> record = decodeRecord<ItemRecord>(*row);
  if (!record) {
    return false;
  }
  if (record.value().state == ItemState::Pending && batch.cancelled()) {
    result.state = ItemState::Unknown;
    result.errorType = std::string(errorTypeName(ErrorCode::OutcomeUnknown));
    return true;
  }
  if (!isFinal(record.value().state)) {
    return false;
  }
  result.state = record.value().state;
  result.body = std::move(record.value().body);
  result.errorType = std::move(record.value().errorType);
  return true;
}

ResultPage BatchOwnerCore::resultPage(const BatchState& batch, std::uint64_t from,
                                      std::uint32_t limit) const {
  if (batch.listsByCompletion()) {
    return completionPage(batch, from, limit);
  }
  ResultPage page;
  page.next = std::min(from, batch.meta().itemCount);
  const std::uint32_t bound = std::min(limit, options_.maxPageItems);
  std::uint64_t bytes = 0;
  while (page.results.size() < bound && page.next < batch.meta().itemCount &&
         bytes < options_.maxPageBytes) {
    ItemResult result;
    if (!readResult(batch, page.next, result)) {
      break;
    }
    bytes += result.body.size();
    page.results.push_back(std::move(result));
    ++page.next;
  }
  page.itemCount = batch.meta().itemCount;
  page.complete = page.next == batch.meta().itemCount && (batch.finished() || batch.allFinal());
  return page;
}

/// In the order of completion: a slow item holds back no other's result.
ResultPage BatchOwnerCore::completionPage(const BatchState& batch, std::uint64_t from,
                                          std::uint32_t limit) const {
  ResultPage page;
  page.itemCount = batch.meta().itemCount;
  page.next = std::min(from, batch.listed());
  const std::uint32_t bound = std::min(limit, options_.maxPageItems);
  std::uint64_t bytes = 0;
  while (page.results.size() < bound && page.next < batch.listed() &&
         bytes < options_.maxPageBytes) {
    ItemResult result;
    if (!readResult(batch, batch.positionAt(page.next), result)) {
      break;
    }
    result.position = page.next;
    bytes += result.body.size();
    page.results.push_back(std::move(result));
    ++page.next;
  }
  page.complete = page.next == batch.listed() && (batch.finished() || batch.allFinal());
  return page;
}

std::vector<UnfinishedItem> BatchOwnerCore::unfinishedItems(const BatchState& batch,
                                                            std::uint64_t from,
                                                            std::uint32_t limit) const {
  std::vector<UnfinishedItem> items;
  if (batch.finished()) {
    return items;
  }
  const PartitionId partition = partitionOf(TableKind::Batches, batch.id());
  const std::uint32_t bound = std::min(limit, options_.maxPageItems);
  std::uint64_t bytes = 0;
  std::uint64_t loaded = batch.meta().chunkPositions.size();
  BodyChunk chunk;
  for (std::uint64_t position = from; position < batch.meta().itemCount; ++position) {
    if (items.size() >= bound || bytes >= options_.maxPageBytes) {
      break;
    }
    const ItemState state = batch.state(position);
    if (isFinal(state)) {
      continue;
    }
    const std::uint64_t index = batch.chunkOf(position);
    if (index != loaded) {
      const auto row = store_.get(partition, bodyKey(batch.id(), index));
      Result<BodyChunk> decoded = decodeRecord<BodyChunk>(row.value_or(std::string()));
      if (!decoded) {
        break;
      }
      chunk = std::move(decoded).value();
      loaded = index;
    }
    const std::uint64_t offset = position - batch.meta().chunkPositions[index];
    items.push_back({position, state, chunk.items.at(offset)});
    bytes += chunk.items.at(offset).size();
  }
  return items;
}

void BatchOwnerCore::cancelBatch(const std::string& batchId, std::function<void()> done) {
  BatchState* batch = find(batchId);
  if (batch->finished() || batch->finalWriting || batch->cancelled()) {
    done();
    return;
  }
  batch->cancelWaiters.push_back(std::move(done));
  if (batch->cancelRequested) {
    return;
  }
  batch->cancelRequested = true;
  // Pending items need no row of their own: in a cancelled batch an absent row means cancelled.
  writeUntilDurable(batchId, {{cancelKey(batchId), std::string("1")}}, [this, batchId] {
    BatchState* cancelled = find(batchId);
    if (cancelled == nullptr) {
      return;
    }
    cancelled->setCancelled();
    std::vector<std::function<void()>> waiters = std::move(cancelled->cancelWaiters);
    cancelled->cancelWaiters.clear();
    for (const auto& waiter : waiters) {
      waiter();
    }
    finishIfDone(*cancelled);
  });
}

std::vector<BatchStatus> BatchOwnerCore::list() const {
  std::vector<BatchStatus> statuses;
  for (const auto& owned : owned_) {
    for (const auto& batch : owned.second.batches) {
      if (batch.second.committed) {
        statuses.push_back(batch.second.status());
      }
    }
  }
  return statuses;
}

Result<BatchStatus> BatchOwnerCore::committedStatus(const std::string& batchId) {
  if (ownedOf(batchId) == nullptr) {
    return makeError(ErrorCode::NotOwner, "another store owns the batch");
  }
  const BatchState* batch = find(batchId);
  if (batch == nullptr) {
    return makeError(ErrorCode::NotFound, "no such batch: " + batchId);
  }
  if (!batch->committed) {
    return makeError(ErrorCode::NotReady, batchId + " is not accepted yet");
  }
  return batch->status();
}

void BatchOwnerCore::statusForOperator(const std::string& batchId,
                                       std::function<void(Result<BatchStatus>)> done) {
  store_.confirmOwnership(partitionOf(TableKind::Batches, batchId),
                          [this, batchId, done = std::move(done)](const Status& status) {
                            if (!status) {
                              done(status.error());
                              return;
                            }
                            done(committedStatus(batchId));
                          });
}

void BatchOwnerCore::cancelForOperator(const std::string& batchId,
                                       std::function<void(Result<BatchStatus>)> done) {
  statusForOperator(batchId, [this, batchId, done](Result<BatchStatus> status) {
    if (!status) {
      done(std::move(status));
      return;
    }
    cancelBatch(batchId, [this, batchId, done] { done(committedStatus(batchId)); });
  });
}

}  // namespace shedshed

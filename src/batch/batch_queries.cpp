#include "batch/batch_queries.h"

#include <algorithm>

namespace shedshed {

void BatchQueries::onQuery(const NodeId& from, BatchQuery query) {
  if (table_.owned(query.batchId) == nullptr) {
    responder_.redirect(from, {query.request}, query.batchId);
    return;
  }
  const auto kind = static_cast<BatchQueryKind>(query.kind);
  const BatchState* batch = table_.find(query.batchId);
  const bool isCommitted = batch != nullptr && batch->committed;
  // Durable results never change, so they can be served without confirming ownership. Listings in
  // completion order are the exception: a fenced owner could list fewer results than were read
  // before. Mutation tests can disable the confirmation of `NotFound`.
  const bool isImmutable =
      kind == BatchQueryKind::Results && isCommitted && !batch->listsByCompletion();
  const bool needsConfirmation = isCommitted ? !isImmutable : safeguards_.confirmNotFound;
  if (!needsConfirmation) {
    answerQuery(from, query);
    return;
  }
  const PartitionId partition = partitionOfBatch(query.batchId);
  store_.confirmOwnership(partition, [this, from, query](const Status& status) {
    if (!status) {
      responder_.redirect(from, {query.request}, query.batchId);
      return;
    }
    answerQuery(from, query);
  });
}

BatchState* BatchQueries::visibleBatch(const BatchQuery& query, BatchReply& reply) {
  BatchState* batch = table_.find(query.batchId);
  if (batch == nullptr || batch->meta().tenant != query.tenant) {
    const bool owner = table_.owned(query.batchId) != nullptr;
    reply.code = wireCode(owner ? ErrorCode::NotFound : ErrorCode::NotOwner);
    return nullptr;
  }
  if (!batch->committed) {
    reply.code = wireCode(ErrorCode::NotReady);
    return nullptr;
  }
  return batch;
}

void BatchQueries::answerQuery(const NodeId& from, const BatchQuery& query) {
  BatchReply answer;
  answer.request = query.request;
  BatchState* batch = visibleBatch(query, answer);
  if (batch == nullptr) {
    responder_.reply(from, std::move(answer));
    return;
  }
  switch (static_cast<BatchQueryKind>(query.kind)) {
  case BatchQueryKind::Status:
    answer.status = batch->status();
    break;
  case BatchQueryKind::Results:
    answer.page = reader_.resultPage(*batch, query.from, query.limit);
    break;
  case BatchQueryKind::Unfinished:
    answer.unfinished = reader_.unfinishedItems(*batch, query.from, query.limit);
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
      responder_.reply(from, std::move(done));
    });
    return;
  default:
    answer.code = wireCode(ErrorCode::InvalidArgument);
    break;
  }
  responder_.reply(from, std::move(answer));
}

void BatchQueries::answerItemBody(const BatchState& batch, const BatchQuery& query,
                                  BatchReply& answer) const {
  const std::vector<std::string>& names = batch.meta().names;
  const auto found = std::find(names.begin(), names.end(), query.name);
  if (found != names.end()) {
    const auto position = static_cast<std::uint64_t>(found - names.begin());
    answer.unfinished = reader_.unfinishedItems(batch, position, 1);
  }
  const bool same =
      !answer.unfinished.empty() && names[answer.unfinished.front().position] == query.name;
  if (!same) {
    answer.unfinished.clear();
    answer.code = wireCode(ErrorCode::NotFound);
  }
}

void BatchQueries::cancelBatch(const std::string& batchId, std::function<void()> done) {
  BatchState* batch = table_.find(batchId);
  if (batch->finished() || batch->finalWriteInFlight || batch->cancelled()) {
    done();
    return;
  }
  batch->cancelWaiters.push_back(std::move(done));
  if (batch->cancelRequested) {
    return;
  }
  batch->cancelRequested = true;
  // Pending items need no rows of their own: in a cancelled batch an absent row means cancelled.
  writer_.write(partitionOfBatch(batchId), {{cancelKey(batchId), std::string("1")}},
                [this, batchId] {
                  BatchState* cancelled = table_.find(batchId);
                  if (cancelled == nullptr) {
                    return;
                  }
                  cancelled->setCancelled();
                  std::vector<std::function<void()>> waiters = std::move(cancelled->cancelWaiters);
                  cancelled->cancelWaiters.clear();
                  for (const auto& waiter : waiters) {
                    waiter();
                  }
                  items_.finishIfDone(*cancelled);
                });
}

std::vector<BatchStatus> BatchQueries::list() const {
  std::vector<BatchStatus> statuses;
  for (const auto& owned : table_.partitions()) {
    for (const auto& batch : owned.second.batches) {
      if (batch.second.committed) {
        statuses.push_back(batch.second.status());
      }
    }
  }
  return statuses;
}

Result<BatchStatus> BatchQueries::committedStatus(const std::string& batchId) {
  if (table_.owned(batchId) == nullptr) {
    return makeError(ErrorCode::NotOwner, "another store owns the batch");
  }
  const BatchState* batch = table_.find(batchId);
  if (batch == nullptr) {
    return makeError(ErrorCode::NotFound, "no such batch: " + batchId);
  }
  if (!batch->committed) {
    return makeError(ErrorCode::NotReady, batchId + " is not accepted yet");
  }
  return batch->status();
}

void BatchQueries::statusForOperator(const std::string& batchId,
                                     std::function<void(Result<BatchStatus>)> done) {
  store_.confirmOwnership(partitionOfBatch(batchId),
                          [this, batchId, done = std::move(done)](const Status& status) {
                            if (!status) {
                              done(status.error());
                              return;
                            }
                            done(committedStatus(batchId));
                          });
}

void BatchQueries::cancelForOperator(const std::string& batchId,
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

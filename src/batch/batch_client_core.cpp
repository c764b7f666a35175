#include "batch/batch_client_core.h"

#include "batch/batch_records.h"

#include <algorithm>
#include <cstdio>

namespace shedshed {
namespace {

/// Maximum number of redirects followed between two timer events. Limits the messages caused by
/// two stores that redirect to each other.
constexpr std::uint32_t kMaxRedirects = 3;

/// True for errors that end a request, because a retransmission does not help.
bool isFinalError(ErrorCode code) {
  switch (code) {
  case ErrorCode::NotFound:
  case ErrorCode::AlreadyExists:
  case ErrorCode::InvalidArgument:
  case ErrorCode::TooLarge:
  case ErrorCode::StorageFull:
  case ErrorCode::PoolFull:
  case ErrorCode::StoreUnavailable:
    return true;
  default:
    return false;
  }
}

/// True for rejections of a submission that another transmission may not encounter.
bool isTransientRejection(ErrorCode code) {
  return code == ErrorCode::StorageFull || code == ErrorCode::PoolFull ||
         code == ErrorCode::StoreUnavailable;
}

std::function<void(Result<BatchReply>)>
statusCallback(std::function<void(Result<BatchStatus>)> done) {
  return [done = std::move(done)](Result<BatchReply> reply) {
    if (!reply) {
      done(std::move(reply).error());
      return;
    }
    done(std::move(reply.value().status));
  };
}

}  // namespace

BatchClientCore::BatchClientCore(CoreContext& context, OwnerLocator& locator,
                                 BatchClientOptions options)
    : context_(context), locator_(locator), options_(options) {}

void BatchClientCore::start() {
  // A random start, so that a restarted process does not reuse the request numbers of the
  // previous one.
  nextRequestNumber_ = context_.random()();
}

void BatchClientCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<BatchReply>(message, [&](BatchReply reply) { onReply(from, std::move(reply)); });
}

void BatchClientCore::timerExpired(TimerId timer) {
  const auto found = requests_.find(timer);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  if (context_.now() - request.lastProgress >= options_.deadline) {
    finish(timer, timeoutError(request));
    return;
  }
  locator_.failed(partitionOfBatch(request.batchId), request.lastTarget);
  ++request.attempt;
  request.redirects = 0;
  sendRequest(timer, request);
}

Error BatchClientCore::timeoutError(const Request& request) {
  if (const Upload* upload = std::get_if<Upload>(&request.content)) {
    // Chunks have no effect until the committing chunk arrives.
    return upload->commitSent ? makeError(ErrorCode::OutcomeUnknown, {}, Ran::Unknown)
                              : makeError(ErrorCode::StoreUnavailable);
  }
  const auto& query = std::get<BatchQuery>(request.content);
  const bool changes = static_cast<BatchQueryKind>(query.kind) == BatchQueryKind::Cancel;
  return changes && request.transmissions != 0
             ? makeError(ErrorCode::OutcomeUnknown, {}, Ran::Unknown)
             : makeError(ErrorCode::StoreUnavailable);
}

std::string BatchClientCore::newBatchId(const BatchSubmission& submission) {
  if (!submission.clientKey.empty()) {
    return batchIdOfClientKey(submission.tenant, submission.clientKey);
  }
  const std::uint64_t high = context_.random()();
  const std::uint64_t low = context_.random()();
  char text[33];
  std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return text;
}

std::vector<BatchClientCore::ChunkRange>
BatchClientCore::splitIntoChunks(const std::vector<std::string>& items) const {
  std::vector<ChunkRange> chunks;
  std::uint64_t bytes = 0;
  for (std::uint64_t position = 0; position < items.size(); ++position) {
    const std::uint64_t size = items[position].size();
    const bool fits = !chunks.empty() && bytes + size <= options_.maxChunkBytes &&
                      position - chunks.back().first < options_.maxChunkItems;
    if (!fits) {
      chunks.push_back({position, position});
      bytes = 0;
    }
    bytes += size;
    chunks.back().end = position + 1;
  }
  return chunks;
}

void BatchClientCore::submit(BatchSubmission submission,
                             std::function<void(Result<BatchStatus>)> done) {
  if (submission.items.empty()) {
    done(makeError(ErrorCode::InvalidArgument, "items: must not be empty"));
    return;
  }
  const std::size_t names = submission.names.size();
  if (names != 0 && (names != submission.items.size() || names > kMaxNamedItems)) {
    done(makeError(ErrorCode::InvalidArgument,
                   "names: one for each item, at most " + std::to_string(kMaxNamedItems)));
    return;
  }
  const std::size_t counts = submission.tokens.size();
  if (counts != 0 && counts != submission.items.size()) {
    done(makeError(ErrorCode::InvalidArgument, "tokens: one count for each item"));
    return;
  }
  Upload upload;
  std::string hashes;
  appendItemHashes(hashes, submission.items);
  upload.digest = itemsDigest(hashes);
  upload.chunks = splitIntoChunks(submission.items);
  Request request;
  request.batchId = newBatchId(submission);
  upload.submission = std::move(submission);
  request.content = std::move(upload);
  request.done = statusCallback(std::move(done));
  startRequest(std::move(request));
}

void BatchClientCore::query(BatchQueryKind kind, const std::string& tenant,
                            const std::string& batchId, std::uint64_t from, std::uint32_t limit,
                            std::function<void(Result<BatchReply>)> done) {
  BatchQuery content;
  content.kind = static_cast<std::uint8_t>(kind);
  content.tenant = tenant;
  content.batchId = batchId;
  content.from = from;
  content.limit = limit;
  query(std::move(content), std::move(done));
}

void BatchClientCore::query(BatchQuery content, std::function<void(Result<BatchReply>)> done) {
  Request request;
  request.batchId = content.batchId;
  request.content = std::move(content);
  request.done = std::move(done);
  startRequest(std::move(request));
}

void BatchClientCore::status(const std::string& tenant, const std::string& batchId,
                             std::function<void(Result<BatchStatus>)> done) {
  query(BatchQueryKind::Status, tenant, batchId, 0, 0, statusCallback(std::move(done)));
}

void BatchClientCore::cancel(const std::string& tenant, const std::string& batchId,
                             std::function<void(Result<BatchStatus>)> done) {
  query(BatchQueryKind::Cancel, tenant, batchId, 0, 0, statusCallback(std::move(done)));
}

void BatchClientCore::results(const std::string& tenant, const std::string& batchId,
                              std::uint64_t from, std::uint32_t limit,
                              std::function<void(Result<ResultPage>)> done) {
  query(BatchQueryKind::Results, tenant, batchId, from, limit,
        [done = std::move(done)](Result<BatchReply> reply) {
          if (!reply) {
            done(std::move(reply).error());
            return;
          }
          done(std::move(reply.value().page));
        });
}

void BatchClientCore::unfinished(const std::string& tenant, const std::string& batchId,
                                 std::uint64_t from, std::uint32_t limit,
                                 std::function<void(Result<std::vector<UnfinishedItem>>)> done) {
  query(BatchQueryKind::Unfinished, tenant, batchId, from, limit,
        [done = std::move(done)](Result<BatchReply> reply) {
          if (!reply) {
            done(std::move(reply).error());
            return;
          }
          done(std::move(reply.value().unfinished));
        });
}

void BatchClientCore::itemBody(const std::string& tenant, const std::string& batchId,
                               const std::string& name,
                               std::function<void(Result<std::string>)> done) {
  BatchQuery content;
  content.kind = static_cast<std::uint8_t>(BatchQueryKind::ItemBody);
  content.tenant = tenant;
  content.batchId = batchId;
  content.name = name;
  query(std::move(content), [done = std::move(done)](Result<BatchReply> reply) {
    if (!reply) {
      done(std::move(reply).error());
      return;
    }
    std::vector<UnfinishedItem>& items = reply.value().unfinished;
    if (items.empty()) {
      done(makeError(ErrorCode::NotFound, "no unfinished item of that name"));
      return;
    }
    done(std::move(items.front().body));
  });
}

void BatchClientCore::startRequest(Request request) {
  const std::uint64_t number = nextRequestNumber_++;
  request.lastProgress = context_.now();
  Request& stored = requests_[number] = std::move(request);
  sendRequest(number, stored);
}

void BatchClientCore::sendRequest(std::uint64_t number, Request& request) {
  context_.startTimer(number, options_.retryAfter);
  request.lastTarget = locator_.candidate(partitionOfBatch(request.batchId), request.attempt);
  if (request.lastTarget.empty()) {
    return;
  }
  ++request.transmissions;
  if (Upload* upload = std::get_if<Upload>(&request.content)) {
    sendChunk(number, request, *upload);
    return;
  }
  BatchQuery& query = std::get<BatchQuery>(request.content);
  query.request = number;
  context_.send(request.lastTarget, query);
}

void BatchClientCore::sendChunk(std::uint64_t number, Request& request, Upload& upload) {
  const ChunkRange range = upload.chunks[upload.nextChunk];
  const auto begin = upload.submission.items.begin();
  SubmitChunk chunk;
  chunk.request = number;
  chunk.batchId = request.batchId;
  chunk.transmission = request.transmissions;
  chunk.tenant = upload.submission.tenant;
  chunk.idempotent = upload.submission.idempotentItems;
  chunk.itemCount = upload.submission.items.size();
  chunk.digest = upload.digest;
  chunk.chunk = upload.nextChunk;
  chunk.last = upload.nextChunk + 1 == upload.chunks.size();
  chunk.items.assign(begin + static_cast<std::ptrdiff_t>(range.first),
                     begin + static_cast<std::ptrdiff_t>(range.end));
  if (!upload.submission.names.empty()) {
    const auto names = upload.submission.names.begin();
    chunk.names.assign(names + static_cast<std::ptrdiff_t>(range.first),
                       names + static_cast<std::ptrdiff_t>(range.end));
  }
  chunk.route = upload.submission.route;
  if (!upload.submission.tokens.empty()) {
    const auto tokens = upload.submission.tokens.begin();
    chunk.tokens.assign(tokens + static_cast<std::ptrdiff_t>(range.first),
                        tokens + static_cast<std::ptrdiff_t>(range.end));
  }
  if (chunk.last) {
    upload.commitSent = true;
    upload.openCommits.insert(chunk.transmission);
  }
  context_.send(request.lastTarget, chunk);
}

void BatchClientCore::onReply(const NodeId& from, BatchReply reply) {
  const auto found = requests_.find(reply.request);
  if (found == requests_.end()) {
    return;
  }
  const std::uint64_t number = found->first;
  Request& request = found->second;
  if (reply.code != kWireOk) {
    onFailure(from, number, request, reply);
    return;
  }
  if (std::holds_alternative<Upload>(request.content) && !reply.committed) {
    onChunkStored(number, request, reply);
    return;
  }
  finish(number, std::move(reply));
}

void BatchClientCore::onChunkStored(std::uint64_t number, Request& request,
                                    const BatchReply& reply) {
  Upload& upload = std::get<Upload>(request.content);
  if (reply.nextChunk == upload.nextChunk || reply.nextChunk >= upload.chunks.size()) {
    // The requested chunk is already in flight. If it is lost, the timer resends it.
    return;
  }
  if (reply.nextChunk > upload.nextChunk) {
    request.lastProgress = context_.now();
  }
  upload.nextChunk = reply.nextChunk;
  request.attempt = 0;
  sendRequest(number, request);
}

void BatchClientCore::onFailure(const NodeId& from, std::uint64_t number, Request& request,
                                const BatchReply& reply) {
  const ErrorCode code = errorCodeFromWire(reply.code);
  const PartitionId partition = partitionOfBatch(request.batchId);
  Upload* upload = std::get_if<Upload>(&request.content);
  if (upload != nullptr) {
    upload->openCommits.erase(reply.transmission);
  }
  if (code == ErrorCode::NotOwner) {
    if (from != request.lastTarget) {
      return;
    }
    if (reply.owner.empty() || reply.owner == from) {
      // The owner is not known yet. The timer tries the next candidate.
      return;
    }
    locator_.redirected(partition, reply.owner);
    request.attempt = 0;
    if (request.redirects++ < kMaxRedirects) {
      sendRequest(number, request);
    }
    return;
  }
  if (!isFinalError(code)) {
    return;
  }
  if (upload != nullptr && isTransientRejection(code) && !upload->openCommits.empty()) {
    // Another transmission of the committing chunk may still be accepted: wait for its reply or
    // the deadline.
    return;
  }
  finish(number, makeError(code, reply.detail));
}

void BatchClientCore::finish(std::uint64_t number, Result<BatchReply> result) {
  const auto found = requests_.find(number);
  const auto done = std::move(found->second.done);
  requests_.erase(found);
  context_.stopTimer(number);
  done(std::move(result));
}

}  // namespace shedshed

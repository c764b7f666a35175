/// @file
/// Client of the batch owners, on the data nodes.
#pragma once

#include "batch/batch_client.h"
#include "batch/batch_messages.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"

#include <map>
#include <set>
#include <variant>

namespace shedshed {

/// Options of `BatchClientCore`.
struct BatchClientOptions {
  /// An unanswered request is resent to the next candidate after this time.
  Duration retryAfter = std::chrono::milliseconds(500);
  /// A request that makes no progress for this long fails.
  Duration deadline = std::chrono::seconds(10);
  /// Maximum total size of the bodies in one chunk; a larger item is sent in a chunk of its own.
  std::uint64_t maxChunkBytes = 256U << 10U;
  /// Maximum number of items in one chunk.
  std::uint64_t maxChunkItems = 10000;
};

/// Sends each request to the store that owns the batch, and resends it until it is answered.
///
/// A submission is sent one chunk at a time. The owner's reply names the chunk to send next, so
/// that a new owner can request all chunks again. Every resend has the same batch id and is
/// therefore idempotent.
class BatchClientCore : public Core, public BatchClient {
 public:
  /// Holds references to the arguments, which must outlive this object.
  BatchClientCore(CoreContext& context, OwnerLocator& locator, BatchClientOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void submit(BatchSubmission submission, std::function<void(Result<BatchStatus>)> done) override;
  void status(const std::string& tenant, const std::string& batchId,
              std::function<void(Result<BatchStatus>)> done) override;
  void results(const std::string& tenant, const std::string& batchId, std::uint64_t from,
               std::uint32_t limit, std::function<void(Result<ResultPage>)> done) override;
  void unfinished(const std::string& tenant, const std::string& batchId, std::uint64_t from,
                  std::uint32_t limit,
                  std::function<void(Result<std::vector<UnfinishedItem>>)> done) override;
  void itemBody(const std::string& tenant, const std::string& batchId, const std::string& name,
                std::function<void(Result<std::string>)> done) override;
  void cancel(const std::string& tenant, const std::string& batchId,
              std::function<void(Result<BatchStatus>)> done) override;

 private:
  /// Half-open range of item positions, [first, end).
  struct ChunkRange {
    std::uint64_t first = 0;
    std::uint64_t end = 0;
  };
  struct Upload {
    BatchSubmission submission;
    std::string digest;
    std::vector<ChunkRange> chunks;
    std::uint64_t nextChunk = 0;
    bool commitSent = false;
    /// Transmissions of the committing chunk that have not been rejected.
    std::set<std::uint32_t> openCommits;
  };
  struct Request {
    std::string batchId;
    std::variant<BatchQuery, Upload> content;
    std::uint32_t attempt = 0;
    std::uint32_t transmissions = 0;  ///< Total number sent.
    std::uint32_t redirects = 0;      ///< Followed since the last timer event.
    NodeId lastTarget;                ///< Node of the last transmission.
    Time lastProgress{};
    std::function<void(Result<BatchReply>)> done;
  };

  void query(BatchQueryKind kind, const std::string& tenant, const std::string& batchId,
             std::uint64_t from, std::uint32_t limit, std::function<void(Result<BatchReply>)> done);
  void query(BatchQuery content, std::function<void(Result<BatchReply>)> done);
  void startRequest(Request request);
  void sendRequest(std::uint64_t number, Request& request);
  void sendChunk(std::uint64_t number, Request& request, Upload& upload);
  void onReply(const NodeId& from, BatchReply reply);
  void onFailure(const NodeId& from, std::uint64_t number, Request& request,
                 const BatchReply& reply);
  void onChunkStored(std::uint64_t number, Request& request, const BatchReply& reply);
  /// Returns the error of a request after its deadline: `OutcomeUnknown` if it may still take
  /// effect.
  static Error timeoutError(const Request& request);
  void finish(std::uint64_t number, Result<BatchReply> result);
  std::vector<ChunkRange> splitIntoChunks(const std::vector<std::string>& items) const;
  std::string newBatchId(const BatchSubmission& submission);

  CoreContext& context_;
  OwnerLocator& locator_;
  BatchClientOptions options_;
  std::uint64_t nextRequestNumber_ = 0;
  std::map<std::uint64_t, Request> requests_;
};

}  // namespace shedshed

/// @file
/// Callers' side of durable batches, on the data nodes.
#pragma once

#include "batch/batch_client.h"
#include "batch/batch_messages.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"

#include <map>
#include <set>
#include <variant>

namespace shedshed {

/// Sizes and times of the client.
struct BatchClientOptions {
  /// A request without an answer is sent again, to the next candidate, after this time.
  Duration retryAfter = std::chrono::milliseconds(500);
  /// A request without any progress for this long fails.
  Duration deadline = std::chrono::seconds(10);
  /// Bound of the bodies in one chunk, in bytes; a single larger item is a chunk of its own.
  std::uint64_t maxChunkBytes = 256U << 10U;
  /// Bound of the items in one chunk.
  std::uint64_t maxChunkItems = 10000;
};

/// Sends each request until it is answered, to whichever store owns the batch.
///
/// A submission goes out one chunk at a time; the owner's answer names the chunk to send
/// next, so that a new owner can ask for all of them again. The batch id stays the same on every
/// resend, which makes a resend harmless.
class BatchClientCore : public Core, public BatchClient {
 public:
  /// Keeps references; they must outlive it.
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
  /// Range of items, [first, end).
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
    /// Transmissions of the chunk that commits without a rejection so far.
    std::set<std::uint32_t> openCommits;
  };
  struct Request {
    std::string batchId;
    std::variant<BatchQuery, Upload> content;
    std::uint32_t attempt = 0;
    std::uint32_t transmissions = 0;  ///< Sent in all.
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
  /// Error of a request after its deadline: unknown if it may still take effect.
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

/// @file
/// Owner side of durable batches, on the store nodes.
#pragma once

#include "batch/batch_messages.h"
#include "batch/batch_safeguards.h"
#include "batch/batch_settings.h"
#include "batch/batch_state.h"
#include "batch/queued_token_messages.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/owner_locator.h"
#include "partition/partition_store.h"
#include "register/configuration_register.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace shedshed {

/// Sizes and times of the owner.
struct BatchOwnerOptions {
  /// How long a finished batch can be read. Counted by each owner from the moment that it saw the
  /// batch finished: clocks of two machines are never compared.
  Duration retention = std::chrono::hours(24);
  /// A submission without progress for this long is erased.
  Duration uploadTimeout = std::chrono::seconds(60);
  /// How long a refused submission is remembered, so that a late copy of it is refused as well.
  Duration rejectionRetention = std::chrono::minutes(5);
  /// A run whose runner was not heard for this long goes to another node.
  Duration runTimeout = std::chrono::seconds(6);
  /// Interval of the owner's housekeeping.
  Duration tick = std::chrono::milliseconds(500);
  /// Body bytes that one partition takes before it refuses new batches with `StorageFull`.
  std::uint64_t maxPartitionBodyBytes = 512ULL << 20U;
  /// Bound of one page of results or bodies, in bytes of bodies.
  std::uint64_t maxPageBytes = 1U << 20U;
  /// Bound of one page, in items.
  std::uint32_t maxPageItems = 1000;
  /// Rows erased in one write of retention.
  std::uint64_t erasePerWrite = 1000;
  BatchSafeguards safeguards;
};

/// Keeps the batches of the partitions that this node owns.
///
/// Protocol, and why it is safe:
/// - A batch exists once its commit record, written after all of its chunks, is on a majority; the
///   submission is acknowledged only then. Its id is chosen by the sender (or follows from the
///   client key), so that a resend finds the same batch.
/// - A run epoch, durable before it is announced, names the one runner of a batch. Starts of older
///   epochs are refused. What an older run had started is resolved in the same write that makes
///   the new epoch durable.
/// - `Started` and results are acknowledged only when a majority has them. While such a write is on
///   its way nothing is answered from it, and a failed one is repeated.
/// - The first result of an item is kept; all later ones get the same acknowledgement and change
///   nothing.
class BatchOwnerCore : public Core, public PartitionListener {
 public:
  /// Keeps references; they must outlive it.
  BatchOwnerCore(CoreContext& context, PartitionStore& store, ConfigurationSource& configuration,
                 const Directory& directory, BatchOwnerOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                       RecoveryKind recovery) override;
  void ownershipLost(const PartitionId& partition) override;

  /// The committed batches of all tenants in the owned partitions, for operators.
  std::vector<BatchStatus> list() const;

  /// Proves the ownership and gives the status of any tenant's batch. Fails with `NotFound`,
  /// `NotOwner` or `NotReady`.
  void statusForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

  /// Cancels any tenant's batch; safe to repeat. @p done is not called if the ownership is lost
  /// meanwhile: the outcome is then unknown.
  void cancelForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

 private:
  static constexpr TimerId kTickTimer = 1;
  static constexpr TimerId kReservationTimer = 2;
  static constexpr TimerId kTokenReportTimer = 3;

  /// The request that an answer belongs to, and which copy of it.
  struct RequestId {
    std::uint64_t number = 0;
    std::uint32_t transmission = 0;
  };
  /// An open request for the waiting tokens of a submission whose chunks have all arrived.
  struct Reservation {
    std::uint64_t lastNumber = 0;  ///< Of the last message that asked for it.
    std::uint64_t tokens = 0;
    Time askedAt{};
    NodeId from;
    SubmitChunk chunk;  ///< The one that commits.
    /// Copies of it from others, without their items.
    std::vector<std::pair<NodeId, SubmitChunk>> others;
  };
  /// An uncommitted submission.
  struct Upload {
    BatchMeta meta;            ///< `chunkPositions` and `bodyBytes` grow with the chunks.
    std::string hashes;        ///< Hash of each item so far.
    std::uint64_t stored = 0;  ///< Items handed to the store.
    std::uint64_t durableChunks = 0;
    Time lastProgress{};
    std::optional<Reservation> reservation;
  };
  /// A submission that was refused for good.
  struct Rejection {
    Time at{};
    ErrorCode code = ErrorCode::StorageFull;
  };
  /// Rows being erased in steps.
  struct PendingDeletion {
    PendingDeletionRecord record;
    std::uint64_t erasedChunks = 0;
    std::uint64_t erasedItems = 0;
    bool writing = false;
  };
  struct RetryWrite {
    std::vector<TableEntry> entries;
    std::function<void()> done;
  };
  struct Owned {
    std::uint64_t epoch = 0;
    std::map<std::string, BatchState> batches;
    std::map<std::string, Upload> uploads;
    std::map<std::string, PendingDeletion> pendingDeletions;
    std::vector<RetryWrite> retries;
    /// Submissions that were refused for good, and when: a copy that arrives late must not commit.
    std::map<std::pair<NodeId, std::uint64_t>, Rejection> rejected;
    std::uint64_t bodyBytes = 0;
  };

  // Ownership and access (batch_owner_core.cpp).
  Owned* ownedOf(const std::string& batchId);
  /// Calls @p answer once a majority has proved that this node is the owner: what it would say
  /// from memory alone could be contradicted by a successor.
  void whenOwnershipIsProved(const std::string& batchId, std::function<void()> answer);
  Owned* ownedOf(const PartitionId& partition, std::uint64_t epoch);
  BatchState* find(const std::string& batchId);
  void loadBatch(const PartitionId& partition, Owned& owned, const std::string& batchId,
                 const std::string& metaRow);
  void loadItems(const PartitionId& partition, BatchState& batch);
  void loadPendingDeletions(const PartitionId& partition, Owned& owned);
  /// Writes until it succeeds or the ownership ends; @p done runs only on success, with the same
  /// ownership. Right for writes that must not be half known: a failed one may have survived.
  void writeUntilDurable(const std::string& batchId, std::vector<TableEntry> entries,
                         std::function<void()> done);
  void writeUntilDurable(const PartitionId& partition, std::vector<TableEntry> entries,
                         std::function<void()> done);
  void tick();

  // Submissions (batch_owner_submit.cpp).
  void onSubmit(const NodeId& from, SubmitChunk chunk);
  /// @p resent tells the caller that the batch had been accepted before this submission.
  void answerCommitted(const NodeId& from, const SubmitChunk& chunk, BatchState& batch,
                       bool resent);
  Upload* uploadFor(const NodeId& from, const SubmitChunk& chunk, Owned& owned);
  bool admits(const Owned& owned, const SubmitChunk& chunk, const Upload& upload) const;
  void storeChunk(const NodeId& from, SubmitChunk chunk, Owned& owned, Upload& upload);
  void commitChunk(const NodeId& from, SubmitChunk chunk, Owned& owned, Upload& upload);
  void committed(const std::string& batchId);
  void abandonUpload(const std::string& batchId, Owned& owned);
  void rejectPermanently(const NodeId& from, RequestId request, ErrorCode code, Owned& owned);

  // Waiting tokens (batch_owner_tokens.cpp).
  bool needsReservation(const SubmitChunk& chunk) const;
  /// Asks the ledger whether the batch fits; it is committed or refused by the answer.
  void reserve(const NodeId& from, SubmitChunk chunk, Upload& upload);
  void sendReservation(const PartitionId& partition, Upload& upload);
  NodeId quotaOwner() const;
  static QueuedBatch reservedBatch(const Upload& upload);
  static void joinReservation(const NodeId& from, const SubmitChunk& chunk,
                              Reservation& reservation);
  void onReservation(const NodeId& from, const ReserveQueuedTokensReply& reply);
  /// Learns where the ledger is from an answer of a node that is not. True if that is news.
  bool redirectToQuota(const NodeId& from, const NodeId& owner);
  void commitReserved(Owned& owned, Upload& upload);
  void rejectReserved(Owned& owned, const std::string& batchId, ErrorCode code);
  /// Repeats the open reservations and gives up old ones.
  void retryReservations();
  PartitionTokens queuedTokens(const PartitionId& partition, const Owned& owned) const;
  void reportTokens();
  void onTokensRequest(const NodeId& from, const QueuedTokensRequest& request);

  // Reads and cancels (batch_owner_query.cpp).
  void onQuery(const NodeId& from, BatchQuery query);
  void answerQuery(const NodeId& from, const BatchQuery& query);
  BatchState* visibleBatch(const BatchQuery& query, BatchReply& reply);
  ResultPage resultPage(const BatchState& batch, std::uint64_t from, std::uint32_t limit) const;
  void answerItemBody(const BatchState& batch, const BatchQuery& query, BatchReply& answer) const;
  bool readResult(const BatchState& batch, std::uint64_t position, ItemResult& result) const;
  ResultPage completionPage(const BatchState& batch, std::uint64_t from, std::uint32_t limit) const;
  std::vector<UnfinishedItem> unfinishedItems(const BatchState& batch, std::uint64_t from,
                                              std::uint32_t limit) const;
  void cancelBatch(const std::string& batchId, std::function<void()> done);
  Result<BatchStatus> committedStatus(const std::string& batchId);
  void reply(const NodeId& to, BatchReply reply);
  void reject(const NodeId& to, RequestId request, ErrorCode code, std::string detail = {});
  void redirect(const NodeId& to, RequestId request, const std::string& batchId);

  // Runs (batch_owner_runs.cpp).
  void onHeartbeat(const NodeId& from, const RunHeartbeat& heartbeat);
  RunAnswer answerRun(const NodeId& from, const RunName& run);
  /// Takes back the items that this run started and no longer holds.
  void revertDroppedAttempts(const RunReport& report);
  void onReturnRun(const NodeId& from, const ReturnRun& returned);
  void onFetch(const NodeId& from, const FetchItems& fetch);
  /// True if @p run is the one in force. A runner process that took the place of the run's own
  /// (same node, other incarnation) ends the run.
  bool runIsCurrent(BatchState& batch, const NodeId& from, const RunName& run);
  void endRun(BatchState& batch, const std::string& avoidRunner);
  void resolveStaleItems(BatchState& batch);
  void superviseRun(BatchState& batch);
  void assignRun(BatchState& batch, const NodeId& runner);
  void announceRun(const BatchState& batch);
  NodeId chooseRunner(const std::string& batchId, const std::string& avoid) const;
  /// What becomes of items that a lost run had started: one record each, or none for pending.
  using Resolutions = std::map<std::uint64_t, std::optional<ItemRecord>>;
  Resolutions resolutionsBefore(const BatchState& batch, std::uint64_t epoch) const;
  void writeResolutions(BatchState& batch, std::vector<TableEntry> entries, Resolutions resolutions,
                        std::function<void(BatchState&)> done);

  // Items (batch_owner_items.cpp).
  void onStart(const NodeId& from, const StartItem& start);
  void onRevertStart(const NodeId& from, const RevertStart& revert);
  void onFinish(const NodeId& from, FinishItem finish);
  void startWritten(const NodeId& from, const StartItem& start);
  void revertAttempt(BatchState& batch, std::uint64_t position, std::uint64_t attempt,
                     bool mayHaveRun, std::function<void()> done);
  /// The row of an item that waits to be started: none if it never ran.
  static std::optional<ItemRecord> pendingRecord(bool mayHaveRun);
  /// Postpones @p event until the item's outstanding write is durable; false if there is none.
  bool waitsForWrite(BatchState& batch, std::uint64_t position, std::function<void()> event);
  /// Writes the item's row, or erases it, then changes the state and calls @p done.
  void writeItem(BatchState& batch, std::uint64_t position, std::optional<ItemRecord> record,
                 std::function<void()> done);
  static void applyItem(BatchState& batch, std::uint64_t position,
                        const std::optional<ItemRecord>& record);
  /// Gives a final result the next rank.
  static void rankResult(BatchState& batch, std::optional<ItemRecord>& record);
  /// Writes the results that lost their ranks in a takeover under new ones.
  void reassignRanks(BatchState& batch);
  /// Ends the outstanding write of an item; returns the events that waited for it.
  static std::vector<std::function<void()>> takeWaiters(BatchState& batch, std::uint64_t position);
  void sendFinishReply(const NodeId& to, const RunName& run, std::uint64_t position,
                       std::uint64_t attempt);
  void sendStartReply(const NodeId& to, const StartItem& start, ItemVerdict verdict);
  void finishIfDone(BatchState& batch);

  // Retention (batch_owner_retention.cpp).
  void expire(const PartitionId& partition, Owned& owned);
  /// Takes the batch away in one step; @p erased is called when that is durable.
  void eraseBatch(const PartitionId& partition, Owned& owned, const std::string& batchId,
                  std::function<void()> erased = {});
  void eraseStep(const PartitionId& partition, const std::string& batchId,
                 PendingDeletion& pendingDeletions);
  void deletionFinished(const PartitionId& partition, const std::string& batchId);

  CoreContext& context_;
  PartitionStore& store_;
  BatchSettings settings_;
  const Directory& directory_;
  OwnerLocator locator_;  ///< Finds the ledger of waiting tokens.
  BatchOwnerOptions options_;
  std::map<PartitionId, Owned> owned_;
  std::uint32_t quotaAttempt_ = 0;     ///< Tries without an answer of the ledger.
  std::uint64_t lastTokenNumber_ = 0;  ///< Of the messages to the ledger of waiting tokens.
};

}  // namespace shedshed

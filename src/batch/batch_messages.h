/// @file
/// Messages exchanged by the batch services.
///
/// An error code is encoded as the numeric value of `ErrorCode` plus one: 0 means success on the
/// wire, but is `Internal` in `ErrorCode`.
#pragma once

#include "batch/batch_client.h"
#include "kernel/message.h"
#include "kernel/node_id.h"

namespace shedshed {

/// Wire code of success.
inline constexpr std::uint16_t kWireOk = 0;

inline std::uint16_t wireCode(ErrorCode code) {
  return static_cast<std::uint16_t>(static_cast<std::uint16_t>(code) + 1U);
}

inline ErrorCode errorCodeFromWire(std::uint16_t code) {
  return static_cast<ErrorCode>(code - 1U);
}

/// One chunk of a submission; the last one commits it.
struct SubmitChunk {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t request = 0;
  std::string batchId;
  std::string tenant;
  bool idempotent = false;
  std::uint64_t itemCount = 0;  ///< Items of the whole submission.
  std::string digest;           ///< Digest of the whole submission.
  std::uint64_t chunk = 0;
  bool last = false;
  std::uint32_t transmission = 0;  ///< Transmission number in the request; echoed.
  std::vector<std::string> items;
  std::vector<std::string> names;     ///< Of this chunk's items; empty if unnamed.
  std::string route;                  ///< Route that accepted the batch, or empty.
  std::vector<std::uint64_t> tokens;  ///< Token counts of this chunk's items, or empty.
  MSGPACK_DEFINE(request, batchId, tenant, idempotent, itemCount, digest, chunk, last, transmission,
                 items, names, route, tokens);
};

enum class BatchQueryKind : std::uint8_t {
  Status = 1,
  Results = 2,
  Unfinished = 3,
  Cancel = 4,
  ItemBody = 5,  ///< Replied to like `Unfinished`, with at most one item.
};

/// A read or a cancellation request.
struct BatchQuery {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t request = 0;
  std::uint8_t kind = 0;  ///< `BatchQueryKind`.
  std::string tenant;
  std::string batchId;
  std::uint64_t from = 0;
  std::uint32_t limit = 0;
  std::string name;  ///< Item name, with `ItemBody`.
  MSGPACK_DEFINE(request, kind, tenant, batchId, from, limit, name);
};

/// Reply to `SubmitChunk` and `BatchQuery`.
struct BatchReply {
  static constexpr ServiceId kService = ServiceId::BatchClient;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t request = 0;
  std::uint32_t transmission = 0;  ///< Copied from the `SubmitChunk`.
  std::uint16_t code = kWireOk;
  std::string detail;
  NodeId owner;                 ///< Owner hint, with `NotOwner`.
  bool committed = false;       ///< The submission is durable; `status` is set.
  std::uint64_t nextChunk = 0;  ///< Chunks with a lower index are durable.
  BatchStatus status;
  ResultPage page;
  std::vector<UnfinishedItem> unfinished;
  MSGPACK_DEFINE(request, transmission, code, detail, owner, committed, nextChunk, status, page,
                 unfinished);
};

/// Identifies one run of one batch by one runner process.
struct RunId {
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint64_t incarnation = 0;  ///< Random identifier of the runner process.
  MSGPACK_DEFINE(batchId, runEpoch, incarnation);
};

/// An item attempt in flight at a runner: its start has been requested, it is running, or its
/// result has not been acknowledged.
struct AttemptInFlight {
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  MSGPACK_DEFINE(position, attempt);
};

/// A run that is active on the runner. An attempt numbered below `nextAttempt` that is not in
/// `attemptsInFlight` has ended for good, which remains true if the heartbeat is delayed.
struct RunReport {
  RunId run;
  std::uint64_t nextAttempt = 0;
  std::vector<AttemptInFlight> attemptsInFlight;
  MSGPACK_DEFINE(run, nextAttempt, attemptsInFlight);
};

/// Runner to owner: the runs that are active on this runner.
struct RunHeartbeat {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 10;
  std::uint64_t number = 0;  ///< Echoed, so that the runner can look up the send time.
  std::vector<RunReport> runs;
  MSGPACK_DEFINE(number, runs);
};

/// Runner to owner: requests pending items.
struct FetchItems {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 11;
  RunId run;
  std::uint64_t from = 0;
  std::uint32_t maxItems = 0;
  MSGPACK_DEFINE(run, from, maxItems);
};

/// Runner to owner: requests that the item be made `Started` before an engine is called.
struct StartItem {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 12;
  RunId run;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  MSGPACK_DEFINE(run, position, attempt);
};

/// Runner to owner: the attempt has ended and the item may run again, either because none of its
/// bytes reached an engine or because the batch's items are idempotent.
struct RevertStart {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 13;
  RunId run;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  bool mayHaveRun = false;  ///< The attempt may have reached an engine.
  MSGPACK_DEFINE(run, position, attempt, mayHaveRun);
};

/// Runner to owner: the item's final result. Retransmitted until acknowledged.
struct FinishItem {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 14;
  RunId run;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  std::uint8_t state = 0;  ///< `ItemState`: `Done`, `Failed` or `Unknown`.
  std::string body;
  std::string errorType;
  MSGPACK_DEFINE(run, position, attempt, state, body, errorType);
};

/// Runner to owner: returns the run for reassignment to another node; none of its items is running.
struct ReturnRun {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 15;
  RunId run;
  MSGPACK_DEFINE(run);
};

/// Owner to runner: assigns a run of a batch. Retransmitted until a heartbeat lists the run.
struct AssignRun {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 1;
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::string tenant;
  bool idempotent = false;
  std::uint64_t itemCount = 0;
  bool hasDueTime = false;
  std::int64_t dueInMilliseconds = 0;  ///< Time until all results are due; negative if overdue.
  MSGPACK_DEFINE(batchId, runEpoch, tenant, idempotent, itemCount, hasDueTime, dueInMilliseconds);
};

/// Status of a run at its owner, in the reply to a heartbeat.
enum class RunStatus : std::uint8_t {
  Active = 1,
  Ended = 2,     ///< Fenced, cancelled and idle, finished, or erased: the runner drops it.
  NotOwner = 3,  ///< Another store owns the batch.
  Stopped = 4,   ///< Cancelled: no new starts; running items are finished.
};

/// The reply to a heartbeat for one run.
struct RunHeartbeatResult {
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint8_t status = 0;  ///< `RunStatus`.
  NodeId owner;             ///< Owner hint, with `NotOwner`.
  MSGPACK_DEFINE(batchId, runEpoch, status, owner);
};

/// Owner to runner: reply to `RunHeartbeat`.
struct RunHeartbeatReply {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t number = 0;
  std::vector<RunHeartbeatResult> runs;
  MSGPACK_DEFINE(number, runs);
};

/// Owner to runner: reply to `FetchItems`.
struct ItemsPage {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 3;
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint64_t from = 0;
  std::vector<UnfinishedItem> items;
  std::uint64_t next = 0;  ///< Position to fetch next; 0 at the end of the batch.
  MSGPACK_DEFINE(batchId, runEpoch, from, items, next);
};

/// Outcome of a request to start an item.
enum class StartOutcome : std::uint8_t {
  Accepted = 1,  ///< `Started` is durable.
  Rejected = 2,  ///< Has not taken effect and never will; the attempt has ended.
};

/// Owner to runner: reply to `StartItem`.
struct StartReply {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 4;
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  std::uint8_t outcome = 0;  ///< `StartOutcome`.
  MSGPACK_DEFINE(batchId, runEpoch, position, attempt, outcome);
};

/// Owner to runner: reply to `FinishItem` and `RevertStart`.
struct FinishReply {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 5;
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  MSGPACK_DEFINE(batchId, runEpoch, position, attempt);
};

}  // namespace shedshed

/// @file
/// Messages between the batch services. Error codes travel as numbers of `ErrorCode`; 0 (which is
/// `Internal` there) means success here, so `wireCode` shifts them by one.
#pragma once

#include "batch/batch_client.h"
#include "kernel/message.h"
#include "kernel/node_id.h"

namespace shedshed {

/// The code of success on the wire.
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
  std::uint64_t itemCount = 0;  ///< Of the whole submission.
  std::string digest;           ///< Of the whole submission.
  std::uint64_t chunk = 0;
  bool last = false;
  std::uint32_t transmission = 0;  ///< Numbers the transmissions of one request; echoed.
  std::vector<std::string> items;
  std::vector<std::string> names;     ///< Of the items of this chunk, or empty.
  std::string route;                  ///< Route that took the batch, or empty.
  std::vector<std::uint64_t> tokens;  ///< Of the items of this chunk, or empty.
  MSGPACK_DEFINE(request, batchId, tenant, idempotent, itemCount, digest, chunk, last, transmission,
                 items, names, route, tokens);
};

enum class BatchQueryKind : std::uint8_t {
  Status = 1,
  Results = 2,
  Unfinished = 3,
  Cancel = 4,
  ItemBody = 5,  ///< Answered as `Unfinished` with at most one item.
};

/// A read or a cancel.
struct BatchQuery {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t request = 0;
  std::uint8_t kind = 0;  ///< `BatchQueryKind`.
  std::string tenant;
  std::string batchId;
  std::uint64_t from = 0;
  std::uint32_t limit = 0;
  std::string name;  ///< With `ItemBody`.
  MSGPACK_DEFINE(request, kind, tenant, batchId, from, limit, name);
};

/// Answer to `SubmitChunk` and `BatchQuery`.
struct BatchReply {
  static constexpr ServiceId kService = ServiceId::BatchClient;
  static constexpr std::uint16_t kKind = 1;
  std::uint64_t request = 0;
  std::uint32_t transmission = 0;  ///< Of the `SubmitChunk` answered.
  std::uint16_t code = kWireOk;
  std::string detail;
  NodeId owner;                 ///< Hint, with `NotOwner`.
  bool committed = false;       ///< The submission is durable; `status` is set.
  std::uint64_t nextChunk = 0;  ///< Chunks below this are durable.
  BatchStatus status;
  ResultPage page;
  std::vector<UnfinishedItem> unfinished;
  MSGPACK_DEFINE(request, transmission, code, detail, owner, committed, nextChunk, status, page,
                 unfinished);
};

/// Names one run of one batch by one runner process.
struct RunId {
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint64_t incarnation = 0;  ///< Random number of the runner process.
  MSGPACK_DEFINE(batchId, runEpoch, incarnation);
};

/// An attempt of an item that a runner has in flight: its start is requested, it runs, or its
/// report is not acknowledged.
struct AttemptInFlight {
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  MSGPACK_DEFINE(position, attempt);
};

/// A run that is alive at the runner. An attempt below `nextAttempt` that is not in
/// `attemptsInFlight` is over for good, so that a delayed heartbeat stays true.
struct RunReport {
  RunId run;
  std::uint64_t nextAttempt = 0;
  std::vector<AttemptInFlight> attemptsInFlight;
  MSGPACK_DEFINE(run, nextAttempt, attemptsInFlight);
};

/// Runner to owner: these runs are alive here.
struct RunHeartbeat {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 10;
  std::uint64_t number = 0;  ///< Echoed, so that the runner knows when it sent this one.
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

/// Runner to owner: make this item `Started` before I call an engine.
struct StartItem {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 12;
  RunId run;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  MSGPACK_DEFINE(run, position, attempt);
};

/// Runner to owner: the attempt is over and the item may run again: no byte of it has gone to an
/// engine, or the items of the batch are idempotent.
struct RevertStart {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 13;
  RunId run;
  std::uint64_t position = 0;
  std::uint64_t attempt = 0;
  bool mayHaveRun = false;  ///< The attempt may have reached an engine.
  MSGPACK_DEFINE(run, position, attempt, mayHaveRun);
};

/// Runner to owner: the item's final result. Sent until acknowledged.
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

/// Runner to owner: returns the run for another node; none of its items is running.
struct ReturnRun {
  static constexpr ServiceId kService = ServiceId::BatchOwner;
  static constexpr std::uint16_t kKind = 15;
  RunId run;
  MSGPACK_DEFINE(run);
};

/// Owner to runner: run this batch. Repeated until a heartbeat names the run.
struct AssignRun {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 1;
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::string tenant;
  bool idempotent = false;
  std::uint64_t itemCount = 0;
  bool hasDueTime = false;
  std::int64_t dueInMilliseconds = 0;  ///< Time until all results are due; may be negative.
  MSGPACK_DEFINE(batchId, runEpoch, tenant, idempotent, itemCount, hasDueTime, dueInMilliseconds);
};

/// What the owner says of one run in a heartbeat's answer.
enum class RunStatus : std::uint8_t {
  Active = 1,
  Ended = 2,     ///< Fenced, cancelled with nothing running, finished, or erased: forget it.
  NotOwner = 3,  ///< Ask another store.
  Stopped = 4,   ///< Cancelled: start nothing, finish what runs.
};

struct RunHeartbeatResult {
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint8_t status = 0;  ///< `RunStatus`.
  NodeId owner;             ///< Hint, with `NotOwner`.
  MSGPACK_DEFINE(batchId, runEpoch, status, owner);
};

/// Owner to runner: answers `RunHeartbeat`.
struct RunHeartbeatReply {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 2;
  std::uint64_t number = 0;
  std::vector<RunHeartbeatResult> runs;
  MSGPACK_DEFINE(number, runs);
};

/// Owner to runner: answers `FetchItems`.
struct ItemsPage {
  static constexpr ServiceId kService = ServiceId::BatchRunner;
  static constexpr std::uint16_t kKind = 3;
  std::string batchId;
  std::uint64_t runEpoch = 0;
  std::uint64_t from = 0;
  std::vector<UnfinishedItem> items;
  std::uint64_t next = 0;  ///< Position to fetch next; 0 when the end was reached.
  MSGPACK_DEFINE(batchId, runEpoch, from, items, next);
};

enum class StartOutcome : std::uint8_t {
  Accepted = 1,  ///< Durable.
  Rejected = 2,  ///< Did not and will not take effect: the attempt is over.
};

/// Owner to runner: answers `StartItem`.
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

/// Owner to runner: answers `FinishItem` and `RevertStart`.
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

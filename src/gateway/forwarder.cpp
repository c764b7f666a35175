#include "gateway/forwarder.h"

#include "gateway/event_splitter.h"
#include "gateway/retry_policy.h"
#include "kernel/http_status.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr int kMisdirected = 421;

/// Time-out of a new connection.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
/// Maximum size of an unstreamed response, in bytes.
constexpr std::size_t kMaxResponseBytes = 32U << 20U;
/// Idle time-out of an attempt, if the call may be retried at another engine.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(1500);

bool isSuccess(int status) {
  return isHttpSuccess(static_cast<unsigned>(status));
}

/// Returns true if the engine reports that it has not run @p call. Engines need not echo the id of
/// a request that they reject; with the id of another request the response is not about this one.
bool isRejection(const ResponseHead& head, const OpaqueCall& call) {
  const bool isOther = !head.requestId.empty() && head.requestId != call.requestId;
  return !isOther && (head.notRun || head.status == kMisdirected);
}

/// Fails with `ResponseMismatch` unless @p head belongs to @p call, and is signed if it reports
/// success.
Status checkHead(const ResponseHead& head, const OpaqueCall& call) {
  if (head.requestId != call.requestId) {
    return makeError(ErrorCode::ResponseMismatch, "the response does not echo the request id");
  }
  if (isSuccess(head.status) && !head.isSigned) {
    return makeError(ErrorCode::ResponseMismatch, "the response is not signed by the engine");
  }
  return okStatus();
}

bool isComplete(const UpstreamAttempt& attempt) {
  return attempt.outcome == AttemptOutcome::Answered || attempt.outcome == AttemptOutcome::Streamed;
}

/// Returns the result of a call whose last attempt, @p attempt, is complete.
Result<ForwardedAnswer> answerOf(UpstreamAttempt attempt, const RetryPolicy& retries) {
  if (attempt.outcome == AttemptOutcome::Streamed) {
    return ForwardedAnswer{true, {}, {}};
  }
  if (retries.responseStarted()) {
    return makeError(ErrorCode::ResponseTruncated, "no engine continued the stream", Ran::Unknown);
  }
  return ForwardedAnswer{false, std::move(attempt.head), std::move(attempt.body)};
}

}  // namespace

/// Counts the call as in flight in the load balancer for as long as the object lives.
class Forwarder::InFlight {
 public:
  InFlight(CostLoadBalancer& loadBalancer, std::string engine)
      : loadBalancer_(loadBalancer), engine_(std::move(engine)) {}
  ~InFlight() { loadBalancer_.onFinished(engine_); }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  CostLoadBalancer& loadBalancer_;
  std::string engine_;
};

Forwarder::Forwarder(boost::asio::io_context& io, CoreExecutor& core, EngineSource& engines,
                     CostLoadBalancer& loadBalancer, ServingCounters& counters,
                     const HeaderNames& names)
    : io_(io), core_(core), engines_(engines), loadBalancer_(loadBalancer), counters_(counters),
      names_(names) {
  engines_.addListener([this](const EngineTable& table) { removeUnlistedEngines(table); });
}

void Forwarder::removeUnlistedEngines(const EngineTable& table) {
  std::vector<std::string> listed;
  for (const EngineInfo& engine : table.engines) {
    listed.push_back(engine.id);
  }
  std::sort(listed.begin(), listed.end());
  pool_.keepOnly(listed);
  loadBalancer_.keepOnly(table);
}

Duration Forwarder::timeLeft(const OpaqueCall& call) const {
  if (call.deadline == Time::max()) {
    return std::chrono::hours(1);
  }
  return std::max(call.deadline - core_.now(), Duration{0});
}

Result<ForwardedAnswer> Forwarder::run(ForwardedCall& forwarded, boost::asio::yield_context yield) {
  OpaqueCall call = forwarded.call;
  RetryPolicy retries(call);
  std::set<std::string> attemptedEngines;
  while (true) {
    if (timeLeft(call) <= Duration{0}) {
      return makeError(ErrorCode::DeadlineExceeded, "the deadline of the call has passed",
                       retries.execution());
    }
    const Duration idleTimeout = retries.allowsAnotherExecution() ? kIdleTimeout : timeLeft(call);
    UpstreamAttempt attempt = this->attempt(forwarded, call, attemptedEngines, idleTimeout, yield);
    const bool retry = retries.onAttempt(attempt) == RetryPolicy::Decision::Retry;
    if (isComplete(attempt)) {
      if (retry) {
        continue;
      }
      return answerOf(std::move(attempt), retries);
    }
    if (!retry || forwarded.abort.aborted()) {
      Error error = attempt.error;
      error.ran = retries.execution();
      return error;
    }
    if (!attempt.lastEventId.empty()) {
      call.resumeAfter = attempt.lastEventId;
    }
    counters_.add("gateway_engine_retries_total", 1);
  }
}

UpstreamAttempt Forwarder::attempt(ForwardedCall& forwarded, const OpaqueCall& call,
                                   std::set<std::string>& attemptedEngines, Duration idleTimeout,
                                   boost::asio::yield_context yield) {
  const auto choice = loadBalancer_.choose(*engines_.table(), call, attemptedEngines, core_.now());
  if (!choice) {
    UpstreamAttempt rejected = rejectedAttempt(choice.error());
    rejected.noEngineLeft = true;
    return rejected;
  }
  UpstreamAttempt attempt =
      attemptAt(choice.value(), forwarded, call, attemptedEngines, idleTimeout, yield);
  attempt.engine = choice.value().id;
  return attempt;
}

UpstreamAttempt Forwarder::attemptAt(const EngineChoice& engine, ForwardedCall& forwarded,
                                     const OpaqueCall& call,
                                     std::set<std::string>& attemptedEngines, Duration idleTimeout,
                                     boost::asio::yield_context yield) {
  attemptedEngines.insert(engine.id);
  const InFlight inFlight(loadBalancer_, engine.id);
  journal_->record(call.requestId, "engine", engine.id);
  while (true) {
    bool pooled = false;
    auto connection = acquireConnection(engine, forwarded, pooled, yield);
    if (!connection) {
      if (connection.error().code != ErrorCode::Cancelled) {
        loadBalancer_.onFailed(engine.id, core_.now());
      }
      return rejectedAttempt(connection.error());
    }
    UpstreamAttempt attempt =
        exchange(forwarded, call, engine, *connection.value(), idleTimeout, yield);
    attempt.connection = connection.value()->history().number();
    attempt.exchange = connection.value()->history().exchanges();
    const bool stale = pooled && attempt.outcome == AttemptOutcome::Rejected &&
                       attempt.error.code == ErrorCode::EngineFailed;
    if (stale) {
      continue;  // The engine had closed the pooled connection; nothing was sent.
    }
    if (isComplete(attempt)) {
      pool_.release(engine.id, std::move(connection.value()), core_.now());
    }
    return attempt;
  }
}

Result<std::unique_ptr<UpstreamConnection>>
Forwarder::acquireConnection(const EngineChoice& engine, ForwardedCall& forwarded, bool& pooled,
                             boost::asio::yield_context yield) {
  std::unique_ptr<UpstreamConnection> idle =
      pool_.acquire(engine.id, forwarded.call.requestId, core_.now());
  pooled = idle != nullptr;
  if (pooled) {
    return idle;
  }
  auto fresh = std::make_unique<UpstreamConnection>(io_, names_);
  counters_.add("gateway_engine_connects_total", 1);
  const Duration timeout = std::min(kConnectTimeout, timeLeft(forwarded.call));
  const Status connected =
      fresh->connect(engine.address, timeout, forwarded.abort, forwarded.strand, yield);
  if (!connected) {
    return connected.error();
  }
  return fresh;
}

UpstreamAttempt Forwarder::exchange(ForwardedCall& forwarded, const OpaqueCall& call,
                                    const EngineChoice& engine, UpstreamConnection& connection,
                                    Duration idleTimeout, boost::asio::yield_context yield) {
  const Status sent =
      connection.send(call, engine.id, timeLeft(call), forwarded.abort, forwarded.strand, yield);
  if (!sent && sent.error().ran == Ran::No) {
    return rejectedAttempt(sent.error());
  }
  // An engine that closed the connection during the send may have answered before that: with "not
  // run", or with a response whose own framing shows that it is whole.
  if (!sent && sent.error().code != ErrorCode::EngineFailed) {
    return failedAttempt(sent.error());
  }
  UpstreamAttempt attempt = readResponse(forwarded, call, engine, connection, idleTimeout, yield);
  recordOutcome(attempt, call, engine);
  if (attempt.outcome == AttemptOutcome::Failed) {
    connection.close();
  }
  return attempt;
}

void Forwarder::recordOutcome(const UpstreamAttempt& attempt, const OpaqueCall& call,
                              const EngineChoice& engine) {
  if (attempt.outcome == AttemptOutcome::Rejected) {
    loadBalancer_.onRejected(engine.id, core_.now());
    counters_.add("gateway_engine_refusals_total", 1);
    return;
  }
  if (attempt.outcome != AttemptOutcome::Failed) {
    loadBalancer_.onServed(engine.id, call, core_.now());
    return;
  }
  journal_->record(call.requestId, "engine failed", engine.id + ": " + attempt.error.detail);
  if (attempt.error.code == ErrorCode::ResponseMismatch) {
    counters_.add("gateway_engine_mismatched_answers_total", 1);
  }
  if (attempt.error.code != ErrorCode::Cancelled) {
    loadBalancer_.onFailed(engine.id, core_.now());
    counters_.add("gateway_engine_failures_total", 1);
  }
}

UpstreamAttempt Forwarder::readResponse(ForwardedCall& forwarded, const OpaqueCall& call,
                                        const EngineChoice& engine, UpstreamConnection& connection,
                                        Duration idleTimeout, boost::asio::yield_context yield) {
  const std::uint64_t requestNumber = loadBalancer_.onSent(engine.id, core_.now());
  Result<ResponseHead> head = readOwnHead(forwarded, call, connection, idleTimeout, yield);
  loadBalancer_.onAnswered(engine.id, requestNumber);
  if (!head) {
    return failedAttempt(head.error());
  }
  if (isRejection(head.value(), call)) {
    connection.close();
    return rejectedAttempt(
        makeError(ErrorCode::NoEngine, "the engine rejected the call without running it"));
  }
  if (const Status checked = checkHead(head.value(), call); !checked) {
    return failedAttempt(checked.error());
  }
  if (const Status framed = connection.checkBodyFraming(); !framed) {
    return failedAttempt(framed.error());
  }
  if (isSuccess(head.value().status) && head.value().eventStream) {
    return readStream(forwarded, call, head.value(), connection, idleTimeout, yield);
  }
  return readBody(forwarded, call, std::move(head.value()), connection, idleTimeout, yield);
}

Result<ResponseHead> Forwarder::readOwnHead(ForwardedCall& forwarded, const OpaqueCall& call,
                                            UpstreamConnection& connection, Duration idleTimeout,
                                            boost::asio::yield_context yield) {
  // Each earlier request has one second answer at the most.
  for (std::uint32_t answers = 0; answers < connection.history().exchanges(); ++answers) {
    Result<ResponseHead> head = connection.readHead(std::min(idleTimeout, timeLeft(call)),
                                                    forwarded.abort, forwarded.strand, yield);
    const bool isSurplus = head && head.value().requestId != call.requestId &&
                           connection.history().hasCarried(head.value().requestId);
    if (!isSurplus) {
      return head;
    }
    counters_.add("gateway_engine_surplus_answers_total", 1);
    const Status discarded = discardBody(forwarded, call, connection, idleTimeout, yield);
    if (!discarded) {
      return discarded.error();
    }
  }
  return makeError(ErrorCode::ResponseMismatch,
                   "the connection has only answers to other requests");
}

Status Forwarder::discardBody(ForwardedCall& forwarded, const OpaqueCall& call,
                              UpstreamConnection& connection, Duration idleTimeout,
                              boost::asio::yield_context yield) {
  while (true) {
    const auto chunk = connection.readChunk(std::min(idleTimeout, timeLeft(call)), forwarded.abort,
                                            forwarded.strand, yield);
    if (!chunk) {
      return chunk.error();
    }
    if (chunk.value().empty()) {
      return okStatus();
    }
  }
}

UpstreamAttempt Forwarder::readBody(ForwardedCall& forwarded, const OpaqueCall& call,
                                    ResponseHead head, UpstreamConnection& connection,
                                    Duration idleTimeout, boost::asio::yield_context yield) {
  UpstreamAttempt attempt;
  attempt.outcome = AttemptOutcome::Answered;
  attempt.head = std::move(head);
  while (true) {
    const auto chunk = connection.readChunk(std::min(idleTimeout, timeLeft(call)), forwarded.abort,
                                            forwarded.strand, yield);
    if (!chunk) {
      return failedAttempt(chunk.error());
    }
    if (chunk.value().empty()) {
      return attempt;
    }
    attempt.body.append(chunk.value());
    if (attempt.body.size() > kMaxResponseBytes) {
      return failedAttempt(
          makeError(ErrorCode::TooLarge, "the engine's response exceeds the size limit"));
    }
  }
}

UpstreamAttempt Forwarder::readStream(ForwardedCall& forwarded, const OpaqueCall& call,
                                      const ResponseHead& head, UpstreamConnection& connection,
                                      Duration idleTimeout, boost::asio::yield_context yield) {
  EventSplitter splitter;
  UpstreamAttempt attempt;
  forwarded.sink.onHead(head);
  const auto fail = [&](const Error& error) {
    UpstreamAttempt failed = failedAttempt(error);
    failed.responseStarted = attempt.responseStarted;
    failed.lastEventId = splitter.lastId();
    return failed;
  };
  while (true) {
    const auto chunk = connection.readChunk(std::min(idleTimeout, timeLeft(call)), forwarded.abort,
                                            forwarded.strand, yield);
    if (!chunk) {
      return fail(chunk.error());
    }
    if (chunk.value().empty()) {
      break;
    }
    const std::string_view bytes = call.resumable ? splitter.add(chunk.value()) : chunk.value();
    if (bytes.empty()) {
      continue;
    }
    attempt.responseStarted = true;
    if (const Status taken = forwarded.sink.onBytes(bytes, yield); !taken) {
      return fail(taken.error());
    }
  }
  if (splitter.hasPartialEvent()) {
    return fail(makeError(ErrorCode::ResponseTruncated, "the stream ended inside an event"));
  }
  attempt.outcome = AttemptOutcome::Streamed;
  return attempt;
}

}  // namespace shedshed

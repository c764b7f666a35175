#include "serving/engine_client.h"

namespace shedshed {
namespace {

constexpr const char* kChatTarget = "/v1/chat/completions";
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;

/// Scope guard that reports the end of a routed call to the router.
class InFlightCall {
 public:
  InFlightCall(Router& router, CoreExecutor& core, std::string engine)
      : router_(router), core_(core), engine_(std::move(engine)) {}
  ~InFlightCall() { router_.finish(engine_, outcome_, core_.now()); }
  InFlightCall(const InFlightCall&) = delete;
  InFlightCall& operator=(const InFlightCall&) = delete;

  void setOutcome(const Result<EngineAnswer>& result) {
    if (result) {
      outcome_ = ExchangeOutcome::Healthy;
    } else if (result.error().code != ErrorCode::Cancelled) {
      outcome_ = ExchangeOutcome::Faulty;
    }
  }

 private:
  Router& router_;
  CoreExecutor& core_;
  std::string engine_;
  ExchangeOutcome outcome_ = ExchangeOutcome::Inconclusive;
};

/// Converts 429 and 5xx to an error: the engine did not serve the call, but may have run it.
Result<EngineAnswer> toEngineAnswer(WholeAnswerReader& reader) {
  const int status = reader.status();
  if (status == kTooManyRequests || status >= kFirstServerError) {
    return makeError(ErrorCode::EngineFailed,
                     "the engine answered with status " + std::to_string(status), Ran::Unknown);
  }
  return EngineAnswer{status, reader.takeBody()};
}

}  // namespace

struct EngineClient::Call {
  const EngineRequest& request;
  EventSink* sink;
  CallAbort& abort;
  const ServingStrand& strand;
  bool forwarded = false;  ///< Part of the answer may have reached the caller.
  EngineAttempt last;      ///< The attempt that was made last.
};

Result<EngineAnswer> EngineClient::run(const EngineRequest& request, EventSink* sink,
                                       CallAbort& abort, const ServingStrand& strand,
                                       boost::asio::yield_context yield) {
  Call call{request, sink, abort, strand};
  RouteQuery query{request.model, request.prompt, request.loadBound, {}};
  std::optional<Error> lastError;
  int runs = 0;
  for (int connects = 0; connects < kMaxConnectAttempts + runs; ++connects) {
    const auto engine = choose(query);
    if (!engine) {
      journal_->record(request.requestId, "no engine", engine.error().detail);
      return lastError ? *lastError : engine.error();
    }
    journal_->record(request.requestId, "engine", engine.value().engine);
    query.excluded.insert(engine.value().engine);
    InFlightCall inFlight(router_, core_, engine.value().engine);
    call.last = {};
    call.last.requestId = request.requestId;
    call.last.engine = engine.value().engine;
    Result<EngineAnswer> result = attempt(call, engine.value(), yield);
    inFlight.setOutcome(result);
    call.last.error = result ? std::string() : std::string(errorTypeName(result.error().code));
    if (result.has_error() && result.error().code == ErrorCode::ResponseMismatch) {
      counters_.add("serving_engine_mismatched_answers_total", 1);
    }
    request.onAttempt(call.last);
    if (result) {
      return result;
    }
    journal_->record(request.requestId, "engine failed",
                     engine.value().engine + ": " + result.error().detail + ", ran " +
                         std::string(ranName(result.error().ran)));
    // The call may have run if any of its attempts may have run.
    const bool mayHaveRun = runs > 0 || result.error().ran != Ran::No;
    runs += result.error().ran != Ran::No ? 1 : 0;
    lastError = result.error();
    lastError->ran = mayHaveRun ? Ran::Unknown : Ran::No;
    const bool mayRepeat = request.repeatable && runs < kMaxRepeatableRuns;
    if (abort.aborted() || call.forwarded || (mayHaveRun && !mayRepeat)) {
      return *lastError;
    }
    counters_.add("serving_engine_retries_total", 1);
  }
  return *lastError;
}

Result<RouteChoice> EngineClient::choose(const RouteQuery& query) {
  if (core_.now() >= engines_.freshUntil()) {
    return makeError(ErrorCode::NoEngine, "the engine list is being verified");
  }
  return router_.choose(*engines_.table(), query, core_.now());
}

Result<EngineAnswer> EngineClient::attempt(Call& call, const RouteChoice& engine,
                                           boost::asio::yield_context yield) {
  auto opened = connection(call, engine, yield);
  if (!opened) {
    return opened.error();
  }
  Result<EngineAnswer> result = call.sink == nullptr ? exchangeWhole(call, *opened.value(), yield)
                                                     : exchangeStream(call, *opened.value(), yield);
  call.last.connection = opened.value()->history().number();
  call.last.exchange = opened.value()->history().exchanges();
  if (result) {
    connectionPool_.release(engine.address, std::move(opened.value()), core_.now());
  }
  return result;
}

Result<std::unique_ptr<EngineConnection>>
EngineClient::connection(Call& call, const RouteChoice& engine, boost::asio::yield_context yield) {
  auto pooled = connectionPool_.acquire(engine.address, call.request.requestId, core_.now());
  if (pooled != nullptr) {
    return pooled;
  }
  auto fresh = std::make_unique<EngineConnection>(threads_.io());
  const Status connected =
      fresh->connect(engine.address, timeouts_, call.abort, call.strand, yield);
  if (!connected) {
    return connected.error();
  }
  return fresh;
}

Result<EngineAnswer> EngineClient::exchangeWhole(Call& call, EngineConnection& connection,
                                                 boost::asio::yield_context yield) {
  WholeAnswerReader reader(call.request.requestId);
  const EngineHttpRequest request{"POST", kChatTarget, call.request.requestId, call.request.body};
  const Status exchanged =
      connection.exchange(request, reader, timeouts_, call.abort, call.strand, yield);
  if (!exchanged) {
    return exchanged.error();
  }
  const Status finished = reader.finish();
  if (!finished) {
    return finished.error();
  }
  call.last.status = reader.status();
  return toEngineAnswer(reader);
}

Result<EngineAnswer> EngineClient::exchangeStream(Call& call, EngineConnection& connection,
                                                  boost::asio::yield_context yield) {
  StreamAnswerReader reader(call.request.requestId, *call.sink);
  const EngineHttpRequest request{"POST", kChatTarget, call.request.requestId, call.request.body};
  const Status exchanged =
      connection.exchange(request, reader, timeouts_, call.abort, call.strand, yield);
  Status finished = exchanged ? reader.finish(yield) : exchanged;
  call.forwarded = call.forwarded || reader.forwarded();
  if (!finished) {
    return finished.error();
  }
  call.last.status = reader.refused() ? reader.refusal().status() : kOk;
  if (reader.refused()) {
    return toEngineAnswer(reader.refusal());
  }
  return EngineAnswer{kOk, {}};
}

}  // namespace shedshed

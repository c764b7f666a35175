/// @file
/// Runs calls on engines with at-most-once semantics, unless the caller allows a retry.
#pragma once

#include "engines/engine_runner.h"
#include "engines/engine_table.h"
#include "serving/call_journal.h"
#include "serving/core_executor.h"
#include "serving/engine_answer_readers.h"
#include "serving/engine_connection.h"
#include "serving/engine_connection_pool.h"
#include "serving/router.h"
#include "serving/serving_counters.h"

#include <functional>
#include <memory>
#include <string>

namespace shedshed {

/// Most engines that a call tries as long as none has received a byte of it.
inline constexpr int kMaxConnectAttempts = 3;

/// Most times that a call marked as repeatable is run.
inline constexpr int kMaxRepeatableRuns = 2;

/// A call to be run on an engine.
struct EngineRequest {
  std::string requestId;
  std::string model;
  std::string body;
  std::vector<BlockHash> prompt;
  double loadBound = 1.25;
  bool repeatable = false;  ///< May be retried after a failure.
  /// Called after each attempt, on the strand of the call.
  std::function<void(const EngineAttempt&)> onAttempt = [](const EngineAttempt&) {};
};

/// Routes calls to engines and runs them. Thread-safe; must be called from a coroutine.
///
/// A call is sent to another engine only if no byte of it was sent to the first one, or if it is
/// repeatable and no part of its answer was forwarded. The `ran` of an error is `No` only if no
/// byte of the call was sent to any engine.
class EngineClient {
 public:
  EngineClient(ServingThreads& threads, CoreExecutor& core, EngineSource& engines, Router& router,
               ServingCounters& counters, EngineTimeouts timeouts = {})
      : threads_(threads), core_(core), engines_(engines), router_(router), counters_(counters),
        timeouts_(timeouts) {}

  /// Records chosen engines and failures in @p journal. Must be called before the first `run`.
  void setJournal(CallJournal& journal) { journal_ = &journal; }

  /// Runs @p request on the strand of the calling coroutine, @p strand. With a @p sink the answer
  /// is streamed: its events go to the sink and the body of the result is empty. A result with a
  /// status other than 200 always has its body.
  Result<EngineAnswer> run(const EngineRequest& request, EventSink* sink, CallAbort& abort,
                           const ServingStrand& strand, boost::asio::yield_context yield);

 private:
  struct Call;

  Result<RouteChoice> choose(const RouteQuery& query);
  /// Runs the call on one engine, once. Sets `Call::forwarded`.
  Result<EngineAnswer> attempt(Call& call, const RouteChoice& engine,
                               boost::asio::yield_context yield);
  Result<std::unique_ptr<EngineConnection>> connection(Call& call, const RouteChoice& engine,
                                                       boost::asio::yield_context yield);
  Result<EngineAnswer> exchangeWhole(Call& call, EngineConnection& connection,
                                     boost::asio::yield_context yield);
  Result<EngineAnswer> exchangeStream(Call& call, EngineConnection& connection,
                                      boost::asio::yield_context yield);

  ServingThreads& threads_;
  CoreExecutor& core_;
  EngineSource& engines_;
  Router& router_;
  ServingCounters& counters_;
  EngineTimeouts timeouts_;
  CallJournal* journal_ = &NullCallJournal::instance();
  EngineConnectionPool connectionPool_;
};

}  // namespace shedshed

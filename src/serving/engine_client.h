/// @file
/// Runs one call on an engine, at most once unless the caller allows a repeat.
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

#include <memory>
#include <string>

namespace shedshed {

/// Most engines that a call tries while none has received a byte of it.
inline constexpr int kMaxConnectAttempts = 3;

/// Most runs of a call that its caller marked as repeatable.
inline constexpr int kMaxRepeatableRuns = 2;

/// One call.
struct EngineRequest {
  std::string requestId;
  std::string model;
  std::string body;
  std::vector<BlockHash> prompt;
  double loadBound = 1.25;
  bool repeatable = false;  ///< May run a second time after a failure.
};

/// Routes and runs calls. Any thread may call it, within a coroutine on @p strand.
///
/// At most once: a call goes to another engine only if no byte of it went to the first one, or if
/// it is repeatable and nothing of its answer was sent on. An error's `ran` is `No` only if no byte
/// of the call went to any engine.
class EngineClient {
 public:
  EngineClient(ServingThreads& threads, CoreExecutor& core, EngineSource& engines, Router& router,
               ServingCounters& counters, EngineTimeouts timeouts = {})
      : threads_(threads), core_(core), engines_(engines), router_(router), counters_(counters),
        timeouts_(timeouts) {}

  /// Notes choices and failures in @p journal from now on. Before the first call only.
  void setJournal(CallJournal& journal) { journal_ = &journal; }

  /// Runs @p request. With a @p sink the answer is a stream: its events go to the sink, and the
  /// result has an empty body. A status other than 200 has its body in any case.
  Result<EngineAnswer> run(const EngineRequest& request, EventSink* sink, CallAbort& abort,
                           const ServingStrand& strand, boost::asio::yield_context yield);

 private:
  struct Call;

  /// One attempt on one engine. Sets `Call::sentOn`.
  Result<RouteChoice> choose(const RouteQuery& query);
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

/// @file
/// Runs opaque calls on engines, at most once unless the call may be repeated.
#pragma once

#include "engines/engine_table.h"
#include "gateway/cost_load_balancer.h"
#include "gateway/upstream_attempt.h"
#include "gateway/upstream_connection_pool.h"
#include "serving/call_journal.h"
#include "serving/core_executor.h"
#include "serving/serving_counters.h"

#include <memory>
#include <set>
#include <string>

namespace shedshed {

/// Receives a streamed response.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /// Called with the response head of each engine that streams; only the first one is used.
  virtual void onHead(const ResponseHead& head) = 0;
  /// Called with bytes of the stream; complete events if the call is resumable. An error ends the
  /// stream.
  virtual Status onBytes(std::string_view bytes, boost::asio::yield_context yield) = 0;
};

/// A call that is in flight, and where its response goes.
struct ForwardedCall {
  const OpaqueCall& call;
  StreamSink& sink;
  CallAbort& abort;
  const ServingStrand& strand;
};

/// A complete response; that of a streamed call went to the sink.
struct ForwardedAnswer {
  bool streamed = false;
  ResponseHead head;
  std::string body;
};

/// Forwards calls. Runs on the core thread, in a coroutine on the call's strand.
class Forwarder {
 public:
  /// Keeps references to all arguments; they must outlive the forwarder.
  Forwarder(boost::asio::io_context& io, CoreExecutor& core, EngineSource& engines,
            CostLoadBalancer& loadBalancer, ServingCounters& counters, const HeaderNames& names);

  /// Records chosen engines and failures in @p journal.
  void setJournal(CallJournal& journal) { journal_ = &journal; }

  /// Runs the call, with retries at other engines as `RetryPolicy` allows. An error's `ran` is `No`
  /// only if no engine has run the call or ever will.
  Result<ForwardedAnswer> run(ForwardedCall& forwarded, boost::asio::yield_context yield);

  /// Chooses an engine and makes one attempt there. The engine's id is added to
  /// @p attemptedEngines. The attempt fails once nothing has arrived for @p idleTimeout.
  UpstreamAttempt attempt(ForwardedCall& forwarded, const OpaqueCall& call,
                          std::set<std::string>& attemptedEngines, Duration idleTimeout,
                          boost::asio::yield_context yield);

 private:
  class InFlight;

  /// `attempt` at the chosen engine.
  UpstreamAttempt attemptAt(const EngineChoice& engine, ForwardedCall& forwarded,
                            const OpaqueCall& call, std::set<std::string>& attemptedEngines,
                            Duration idleTimeout, boost::asio::yield_context yield);

  Result<std::unique_ptr<UpstreamConnection>> acquireConnection(const EngineChoice& engine,
                                                                ForwardedCall& forwarded,
                                                                bool& pooled,
                                                                boost::asio::yield_context yield);
  UpstreamAttempt exchange(ForwardedCall& forwarded, const OpaqueCall& call,
                           const EngineChoice& engine, UpstreamConnection& connection,
                           Duration idleTimeout, boost::asio::yield_context yield);
  /// Reports the outcome of the attempt to the load balancer, the counters and the journal.
  void recordOutcome(const UpstreamAttempt& attempt, const OpaqueCall& call,
                     const EngineChoice& engine);
  UpstreamAttempt readResponse(ForwardedCall& forwarded, const OpaqueCall& call,
                               const EngineChoice& engine, UpstreamConnection& connection,
                               Duration idleTimeout, boost::asio::yield_context yield);
  /// Reads the head of the answer to @p call. Second answers to requests that the connection
  /// carried before are discarded.
  Result<ResponseHead> readOwnHead(ForwardedCall& forwarded, const OpaqueCall& call,
                                   UpstreamConnection& connection, Duration idleTimeout,
                                   boost::asio::yield_context yield);
  /// Reads and drops the rest of a response.
  Status discardBody(ForwardedCall& forwarded, const OpaqueCall& call,
                     UpstreamConnection& connection, Duration idleTimeout,
                     boost::asio::yield_context yield);
  UpstreamAttempt readBody(ForwardedCall& forwarded, const OpaqueCall& call, ResponseHead head,
                           UpstreamConnection& connection, Duration idleTimeout,
                           boost::asio::yield_context yield);
  UpstreamAttempt readStream(ForwardedCall& forwarded, const OpaqueCall& call,
                             const ResponseHead& head, UpstreamConnection& connection,
                             Duration idleTimeout, boost::asio::yield_context yield);
  Duration timeLeft(const OpaqueCall& call) const;
  void removeUnlistedEngines(const EngineTable& table);

  boost::asio::io_context& io_;
  CoreExecutor& core_;
  EngineSource& engines_;
  CostLoadBalancer& loadBalancer_;
  ServingCounters& counters_;
  const HeaderNames& names_;
  CallJournal* journal_ = &NullCallJournal::instance();
  UpstreamConnectionPool pool_;
};

}  // namespace shedshed

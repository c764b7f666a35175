/// @file
/// Runs opaque calls on engines, at most once unless the call allows more.
#pragma once

#include "engines/engine_table.h"
#include "gateway/cost_load_balancer.h"
#include "gateway/upstream_connection.h"
#include "serving/call_journal.h"
#include "serving/core_executor.h"
#include "serving/serving_counters.h"

#include <memory>
#include <set>
#include <string>

namespace shedshed {

/// Takes a streamed answer on its way to whoever asked for it.
class StreamSink {
 public:
  virtual ~StreamSink() = default;
  /// The head of the first engine's answer; a later engine's head is not shown.
  virtual void onHead(const EngineHead& head) = 0;
  /// Bytes of the stream; whole events if the call is resumable. An error ends the stream.
  virtual Status onBytes(std::string_view bytes, boost::asio::yield_context yield) = 0;
};

/// How one attempt on one engine ended.
enum class AttemptEnd {
  NotRun,    ///< The engine has not run the call and will not.
  Broken,    ///< The call may have run; there is no whole answer.
  Answered,  ///< `head` and `body` hold the whole answer.
  Streamed,  ///< The whole stream went to the sink.
};

struct Attempt {
  AttemptEnd end = AttemptEnd::NotRun;
  Error error;            ///< Of `NotRun` and `Broken`.
  bool noEngine = false;  ///< Of `NotRun`: no engine is left to be tried.
  EngineHead head;        ///< Of `Answered`.
  std::string body;       ///< Of `Answered`.
  bool begun = false;     ///< Of `Broken`: bytes of a stream went to the sink.
  std::string lastId;     ///< Of `Broken`: id of the last whole event that went to the sink.
};

/// What one call is on its way.
struct ForwardedCall {
  const OpaqueCall& call;
  StreamSink& sink;
  CallAbort& abort;
  const ServingStrand& strand;
};

/// A whole answer; a streamed one is in the sink.
struct ForwardedAnswer {
  bool streamed = false;
  EngineHead head;
  std::string body;
};

/// Forwards calls. On the core thread, within a coroutine on the call's strand.
class Forwarder {
 public:
  /// Keeps references to all; they must outlive it.
  Forwarder(boost::asio::io_context& io, CoreExecutor& core, EngineSource& engines,
            EngineSelector& selector, ServingCounters& counters, const HeaderNames& names);

  /// Notes choices and failures in @p journal from now on.
  void setJournal(CallJournal& journal) { journal_ = &journal; }

  /// Runs the call: other engines are tried while none has run it, and after that as far as the
  /// call may be repeated. An error's `ran` is `No` only if no engine has run the call or ever
  /// will.
  Result<ForwardedAnswer> run(ForwardedCall& forwarded, boost::asio::yield_context yield);

  /// Chooses an engine and makes one attempt there. @p tried gets the engine's id. An engine that
  /// is silent for @p silence is given up.
  Attempt attempt(ForwardedCall& forwarded, const OpaqueCall& call, std::set<std::string>& tried,
                  Duration silence, boost::asio::yield_context yield);

 private:
  class InFlight;

  Result<std::unique_ptr<EngineLink>> linkTo(const EngineChoice& engine, ForwardedCall& forwarded,
                                             bool& pooled, boost::asio::yield_context yield);
  Attempt exchange(ForwardedCall& forwarded, const OpaqueCall& call, const EngineChoice& engine,
                   EngineLink& link, Duration silence, boost::asio::yield_context yield);
  Attempt readAnswer(ForwardedCall& forwarded, const OpaqueCall& call, const EngineChoice& engine,
                     EngineLink& link, Duration silence, boost::asio::yield_context yield);
  Attempt readStream(ForwardedCall& forwarded, const OpaqueCall& call, const EngineHead& head,
                     EngineLink& link, Duration silence, boost::asio::yield_context yield);
  Duration timeLeft(const OpaqueCall& call) const;
  void forgetUnlisted(const EngineTable& table);

  boost::asio::io_context& io_;
  CoreExecutor& core_;
  EngineSource& engines_;
  EngineSelector& selector_;
  ServingCounters& counters_;
  const HeaderNames& names_;
  CallJournal* journal_ = &NoCallJournal::instance();
  EngineLinkPool pool_;
};

}  // namespace shedshed

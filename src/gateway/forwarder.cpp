#include "gateway/forwarder.h"

#include "gateway/event_splitter.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr int kMisdirected = 421;
constexpr int kFirstServerError = 500;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

/// Engines that are asked while each says that it did not run the call.
constexpr std::uint32_t kMostRefusals = 4;
/// Longest time that a new connection may take.
constexpr Duration kConnectLimit = std::chrono::milliseconds(400);
/// Longest whole answer, in bytes.
constexpr std::size_t kMostAnswerBytes = 32U << 20U;
/// An engine that is silent for this long is given up, if the call may go on elsewhere.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(1500);

bool isSuccess(int status) {
  return status >= kFirstSuccess && status < kFirstRedirect;
}

Attempt notRun(Error error) {
  Attempt attempt;
  attempt.end = AttemptEnd::NotRun;
  attempt.error = std::move(error);
  attempt.error.ran = Ran::No;
  return attempt;
}

Attempt broken(Error error) {
  Attempt attempt;
  attempt.end = AttemptEnd::Broken;
  attempt.error = std::move(error);
  attempt.error.ran = Ran::Unknown;
  return attempt;
}

}  // namespace

/// Ends the call in the selector on every way out.
class Forwarder::InFlight {
 public:
  InFlight(EngineSelector& selector, std::string engine)
      : selector_(selector), engine_(std::move(engine)) {}
  ~InFlight() { selector_.finished(engine_); }
  InFlight(const InFlight&) = delete;
  InFlight& operator=(const InFlight&) = delete;

 private:
  EngineSelector& selector_;
  std::string engine_;
};

Forwarder::Forwarder(boost::asio::io_context& io, CoreExecutor& core, EngineSource& engines,
                     EngineSelector& selector, ServingCounters& counters, const HeaderNames& names)
    : io_(io), core_(core), engines_(engines), selector_(selector), counters_(counters),
      names_(names) {
  engines_.addListener([this](const EngineTable& table) { forgetUnlisted(table); });
}

void Forwarder::forgetUnlisted(const EngineTable& table) {
  std::vector<std::string> listed;
  for (const EngineInfo& engine : table.engines) {
    listed.push_back(engine.id);
  }
  std::sort(listed.begin(), listed.end());
  pool_.keepOnly(listed);
  selector_.keepOnly(table);
}

Duration Forwarder::timeLeft(const OpaqueCall& call) const {
  if (call.deadline == Time::max()) {
    return std::chrono::hours(1);
  }
  return std::max(call.deadline - core_.now(), Duration{0});
}

Result<ForwardedAnswer> Forwarder::run(ForwardedCall& forwarded, boost::asio::yield_context yield) {
  OpaqueCall call = forwarded.call;
  std::set<std::string> tried;
  std::uint32_t runs = 0;
  std::uint32_t refusals = 0;
  bool begun = false;
  while (true) {
    if (timeLeft(call) <= Duration{0}) {
      return makeError(ErrorCode::DeadlineExceeded, "the time allowed ran out",
                       runs > 0 ? Ran::Unknown : Ran::No);
    }
    const bool mayGoOn = (call.idempotent || call.resumable) && runs + 1 < call.maxAttempts;
    const Duration silence = mayGoOn ? kSilenceLimit : timeLeft(call);
    Attempt attempt = this->attempt(forwarded, call, tried, silence, yield);
    begun = begun || attempt.begun;
    if (attempt.end == AttemptEnd::Streamed) {
      return ForwardedAnswer{true, {}, {}};
    }
    if (attempt.end == AttemptEnd::Answered) {
      const bool again = attempt.head.status >= kFirstServerError && mayGoOn && !begun;
      if (!again) {
        if (begun) {
          return makeError(ErrorCode::ResponseTruncated, "no engine went on with the stream",
                           Ran::Unknown);
        }
        return ForwardedAnswer{false, std::move(attempt.head), std::move(attempt.body)};
      }
      ++runs;
      continue;
    }
    const bool ranNow = attempt.end == AttemptEnd::Broken;
    runs += ranNow ? 1 : 0;
    refusals += ranNow ? 0 : 1;
    Error error = attempt.error;
    error.ran = runs > 0 ? Ran::Unknown : Ran::No;
    if (forwarded.abort.aborted() || attempt.noEngine || refusals >= kMostRefusals) {
      return error;
    }
    if (ranNow && (!mayGoOn || (begun && !call.resumable))) {
      return error;
    }
    if (!attempt.lastId.empty()) {
      call.resumeAfter = attempt.lastId;
    }
    counters_.add("gateway_engine_retries_total", 1);
  }
}

Attempt Forwarder::attempt(ForwardedCall& forwarded, const OpaqueCall& call,
                           std::set<std::string>& tried, Duration silence,
                           boost::asio::yield_context yield) {
  const auto choice = selector_.choose(*engines_.table(), call, tried, core_.now());
  if (!choice) {
    Attempt none = notRun(choice.error());
    none.noEngine = true;
    return none;
  }
  const EngineChoice& engine = choice.value();
  tried.insert(engine.id);
  const InFlight inFlight(selector_, engine.id);
  journal_->note(call.requestId, "engine", engine.id);
  while (true) {
    bool pooled = false;
    auto link = linkTo(engine, forwarded, pooled, yield);
    if (!link) {
      if (link.error().code != ErrorCode::Cancelled) {
        selector_.failed(engine.id, core_.now());
      }
      return notRun(link.error());
    }
    Attempt attempt = exchange(forwarded, call, engine, *link.value(), silence, yield);
    const bool stale = pooled && attempt.end == AttemptEnd::NotRun &&
                       attempt.error.code == ErrorCode::EngineFailed;
    if (stale) {
      continue;  // The engine had closed the idle link: no byte of the call went out.
    }
    if (attempt.end == AttemptEnd::Answered || attempt.end == AttemptEnd::Streamed) {
      pool_.giveBack(engine.id, std::move(link.value()), core_.now());
    }
    return attempt;
  }
}

Result<std::unique_ptr<EngineLink>> Forwarder::linkTo(const EngineChoice& engine,
                                                      ForwardedCall& forwarded, bool& pooled,
                                                      boost::asio::yield_context yield) {
  std::unique_ptr<EngineLink> idle = pool_.take(engine.id, core_.now());
  pooled = idle != nullptr;
  if (pooled) {
    return idle;
  }
  auto fresh = std::make_unique<EngineLink>(io_, names_);
  counters_.add("gateway_engine_connects_total", 1);
  const Duration limit = std::min(kConnectLimit, timeLeft(forwarded.call));
  const Status connected =
      fresh->connect(engine.address, limit, forwarded.abort, forwarded.strand, yield);
  if (!connected) {
    return connected.error();
  }
  return fresh;
}

Attempt Forwarder::exchange(ForwardedCall& forwarded, const OpaqueCall& call,
                            const EngineChoice& engine, EngineLink& link, Duration silence,
                            boost::asio::yield_context yield) {
  const Status sent =
      link.send(call, engine.id, timeLeft(call), forwarded.abort, forwarded.strand, yield);
  if (!sent && sent.error().ran == Ran::No) {
    return notRun(sent.error());
  }
  // An engine that closed while the call was sent may have said before that it does not run it.
  if (!sent && sent.error().code != ErrorCode::EngineFailed) {
    return broken(sent.error());
  }
  Attempt attempt = readAnswer(forwarded, call, engine, link, silence, yield);
  if (attempt.end == AttemptEnd::Broken) {
    journal_->note(call.requestId, "engine failed", engine.id + ": " + attempt.error.detail);
    if (attempt.error.code != ErrorCode::Cancelled) {
      selector_.failed(engine.id, core_.now());
      counters_.add("gateway_engine_failures_total", 1);
    }
    link.close();
  } else if (attempt.end == AttemptEnd::NotRun) {
    selector_.refused(engine.id, core_.now());
    counters_.add("gateway_engine_refusals_total", 1);
  } else {
    selector_.served(engine.id, call, core_.now());
  }
  return attempt;
}

Attempt Forwarder::readAnswer(ForwardedCall& forwarded, const OpaqueCall& call,
                              const EngineChoice& engine, EngineLink& link, Duration silence,
                              boost::asio::yield_context yield) {
  const std::uint64_t wait = selector_.sent(engine.id, core_.now());
  Result<EngineHead> head = link.readHead(call, std::min(silence, timeLeft(call)), forwarded.abort,
                                          forwarded.strand, yield);
  selector_.answered(engine.id, wait);
  if (!head) {
    return broken(head.error());
  }
  EngineHead& got = head.value();
  if (!got.hasRequestId && !got.notRun && got.status != kMisdirected) {
    return broken(makeError(ErrorCode::ResponseMismatch, "the answer is not that of the call"));
  }
  if (got.notRun || got.status == kMisdirected) {
    link.close();
    return notRun(makeError(ErrorCode::NoEngine, "the engine refused"));
  }
  if (isSuccess(got.status) && !got.isSigned) {
    return broken(makeError(ErrorCode::ResponseMismatch, "the answer is not signed"));
  }
  if (isSuccess(got.status) && got.eventStream) {
    return readStream(forwarded, call, got, link, silence, yield);
  }
  Attempt attempt;
  attempt.end = AttemptEnd::Answered;
  while (true) {
    const auto piece =
        link.readPiece(std::min(silence, timeLeft(call)), forwarded.abort, forwarded.strand, yield);
    if (!piece) {
      return broken(piece.error());
    }
    if (piece.value().empty()) {
      break;
    }
    attempt.body.append(piece.value());
    if (attempt.body.size() > kMostAnswerBytes) {
      return broken(makeError(ErrorCode::TooLarge, "the engine's answer is over its bound"));
    }
  }
  attempt.head = std::move(got);
  return attempt;
}

Attempt Forwarder::readStream(ForwardedCall& forwarded, const OpaqueCall& call,
                              const EngineHead& head, EngineLink& link, Duration silence,
                              boost::asio::yield_context yield) {
  EventSplitter splitter;
  Attempt attempt;
  forwarded.sink.onHead(head);
  const auto breakOff = [&](const Error& error) {
    Attempt ended = broken(error);
    ended.begun = attempt.begun;
    ended.lastId = splitter.lastId();
    return ended;
  };
  while (true) {
    const auto piece =
        link.readPiece(std::min(silence, timeLeft(call)), forwarded.abort, forwarded.strand, yield);
    if (!piece) {
      return breakOff(piece.error());
    }
    if (piece.value().empty()) {
      break;
    }
    const std::string_view bytes = call.resumable ? splitter.add(piece.value()) : piece.value();
    if (bytes.empty()) {
      continue;
    }
    attempt.begun = true;
    if (const Status taken = forwarded.sink.onBytes(bytes, yield); !taken) {
      return breakOff(taken.error());
    }
  }
  if (splitter.hasPartialEvent()) {
    return breakOff(makeError(ErrorCode::ResponseTruncated, "the stream ended inside an event"));
  }
  attempt.end = AttemptEnd::Streamed;
  return attempt;
}

}  // namespace shedshed

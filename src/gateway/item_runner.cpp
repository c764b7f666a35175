#include "gateway/item_runner.h"

#include "gateway/event_splitter.h"
#include "gateway/item_request.h"
#include "gateway/item_retry_policy.h"
#include "gateway/service_choice.h"
#include "kernel/message.h"
#include "register/freshness_proof.h"

#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/coroutine/attributes.hpp>

namespace shedshed {
namespace {

constexpr int kOk = 200;

/// An attempt is abandoned after this long without data, and the item goes to another engine.
constexpr Duration kIdleTimeout = std::chrono::milliseconds(2500);
constexpr std::size_t kStackBytes = 256U << 10U;

EngineAttempt describeAttempt(const OpaqueCall& call, const UpstreamAttempt& attempt) {
  EngineAttempt described;
  described.requestId = call.requestId;
  described.engine = attempt.engine;
  described.connection = attempt.connection;
  described.exchange = attempt.exchange;
  if (attempt.outcome == AttemptOutcome::Answered) {
    described.status = attempt.head.status;
  } else if (attempt.outcome == AttemptOutcome::Streamed) {
    described.status = kOk;
  } else {
    described.error = errorTypeName(attempt.error.code);
  }
  return described;
}

/// When an item of @p route may be listed as failed although no engine has failed it for good.
Time giveUpTime(const RouteSettings& route, Time acceptedBefore) {
  return route.maxWait > Duration{0} ? acceptedBefore + route.maxWait : Time::max();
}

/// True for an answer that is neither a success nor a failed attempt.
bool isUndecidedAnswer(const UpstreamAttempt& attempt) {
  return attempt.outcome == AttemptOutcome::Answered && !isFailedAttempt(attempt.head.status);
}

/// True if the next attempt has to wait: this one got the item no further, and an engine that is in
/// trouble would get the item again at once.
bool needsBackoff(const UpstreamAttempt& attempt) {
  const bool failedAtOnce =
      attempt.outcome == AttemptOutcome::Failed && attempt.lastEventId.empty();
  return failedAtOnce || attempt.outcome == AttemptOutcome::Rejected || isUndecidedAnswer(attempt);
}

/// Waits before an attempt that would otherwise follow at once.
void waitForBackoff(const ServingStrand& strand, boost::asio::yield_context yield) {
  boost::asio::steady_timer backoff(strand);
  backoff.expires_after(kItemRetryBackoff);
  boost::system::error_code ignored;
  backoff.async_wait(yield[ignored]);
}

/// Collects the data of a stream's events.
class EventDataSink : public StreamSink {
 public:
  void onHead(const ResponseHead&) override {}
  Status onBytes(std::string_view bytes, boost::asio::yield_context) override {
    text_.add(bytes);
    return okStatus();
  }
  std::string take() { return text_.take(); }

 private:
  EventDataCollector text_;
};

}  // namespace

Result<ItemTarget> OpaqueItemRunner::targetOf(const std::string& body, Time acceptedBefore) const {
  const Result<BatchItemCall> item = decodeRecord<BatchItemCall>(body);
  if (!item) {
    return ItemTarget{};
  }
  const auto settings = services_.settings.read();
  const auto route = findRoute(settings, item.value().route, acceptedBefore);
  if (route) {
    return ItemTarget{chooseService(*route.value(), item.value().name),
                      giveUpTime(*route.value(), acceptedBefore)};
  }
  if (route.error().code == ErrorCode::NotReady) {
    return route.error();
  }
  return ItemTarget{};
}

std::uint64_t OpaqueItemRunner::targetsVersion() {
  auto settings = services_.settings.read();
  if (settings != targetSettings_) {
    targetSettings_ = std::move(settings);
    ++targetsVersion_;
  }
  return targetsVersion_;
}

Result<const RouteSettings*>
OpaqueItemRunner::findRoute(const std::shared_ptr<const SettingsTree>& settings,
                            const std::string& name, Time acceptedBefore) const {
  const RouteSettings* route = settings == nullptr ? nullptr : settings->routes().find(name);
  if (route != nullptr) {
    return route;
  }
  const bool isCurrent = services_.configuration.freshUntil() >= acceptedBefore + kFreshnessLease;
  if (settings != nullptr && isCurrent) {
    return makeError(ErrorCode::InvalidArgument, "the route " + name + " has been removed");
  }
  return makeError(ErrorCode::NotReady, "the settings of this node may be older than the batch");
}

Result<OpaqueItemRunner::PreparedItem> OpaqueItemRunner::prepare(const EngineCall& call) const {
  Result<BatchItemCall> decoded = decodeRecord<BatchItemCall>(call.body);
  if (!decoded) {
    return makeError(ErrorCode::InvalidArgument, decoded.error().detail);
  }
  BatchItemCall& item = decoded.value();
  Result<ForwardedHeaders> headers = forwardedHeadersOf(item, services_.names);
  if (!headers) {
    return headers.error();
  }
  PreparedItem prepared;
  OpaqueCall& opaque = prepared.call;
  opaque.requestId = item.name;
  opaque.method = "POST";
  opaque.target = std::move(item.target);
  opaque.host = std::move(item.host);
  opaque.headers = std::move(headers.value());
  opaque.body = std::move(item.body);
  opaque.tenant = call.tenant;
  opaque.suggestedEngine = call.suggestedEngine;
  opaque.prompt = parsePromptHints(opaque.headers.value(services_.names.promptParts),
                                   opaque.headers.value(services_.names.tokenCount));
  opaque.resumable = true;
  opaque.idempotent = true;
  const auto settings = services_.settings.read();
  const auto route = findRoute(settings, item.route, call.acceptedBefore);
  if (!route) {
    return route.error();
  }
  opaque.service = chooseService(*route.value(), item.name);
  if (opaque.service != call.model) {
    return makeError(ErrorCode::NotReady, "the route " + item.route + " leads to " +
                                              opaque.service + " by now, not to " + call.model);
  }
  opaque.maxAttempts = std::max(route.value()->maxAttempts, 1U);
  prepared.route = std::move(item.route);
  prepared.giveUpAt = giveUpTime(*route.value(), call.acceptedBefore);
  return prepared;
}

bool OpaqueItemRunner::isTargetCurrent(const PreparedItem& item) const {
  const auto settings = services_.settings.read();
  const RouteSettings* route = settings == nullptr ? nullptr : settings->routes().find(item.route);
  return route != nullptr && chooseService(*route, item.call.requestId) == item.call.service;
}

void OpaqueItemRunner::run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) {
  const ServingStrand strand(services_.io.get_executor());
  auto body = [this, strand, call = std::move(call),
               done = std::move(done)](boost::asio::yield_context yield) {
    auto result = std::make_shared<Result<EngineAnswer>>(runItem(call, strand, yield));
    // Posted, because `done` starts further items, which must not run on this coroutine's stack.
    boost::asio::post(services_.io, [done, result] { done(std::move(*result)); });
  };
  boost::asio::spawn(strand, std::move(body), boost::coroutines::attributes(kStackBytes));
}

Result<EngineAnswer> OpaqueItemRunner::runItem(const EngineCall& call, const ServingStrand& strand,
                                               boost::asio::yield_context yield) {
  Result<PreparedItem> prepared = prepare(call);
  if (!prepared) {
    return prepared.error();
  }
  OpaqueCall& opaque = prepared.value().call;
  const Time giveUpAt = prepared.value().giveUpAt;
  EventDataSink sink;
  CallAbort noAbort;
  ForwardedCall forwarded{opaque, sink, noAbort, strand};
  ItemRetryPolicy retries(opaque.maxAttempts, call.failedAttempts);
  std::set<std::string> attemptedEngines;
  while (call.isWanted() && isTargetCurrent(prepared.value())) {
    const UpstreamAttempt attempt =
        services_.forwarder.attempt(forwarded, opaque, attemptedEngines, kIdleTimeout, yield);
    if (attempt.noEngineLeft && !attemptedEngines.empty()) {
      attemptedEngines.clear();
      waitForBackoff(strand, yield);
      continue;
    }
    if (!attempt.engine.empty()) {
      call.onAttempt(describeAttempt(opaque, attempt));
    }
    const ItemRetryPolicy::Decision decision = retries.onAttempt(attempt);
    if (decision == ItemRetryPolicy::Decision::Complete) {
      const bool streamed = attempt.outcome == AttemptOutcome::Streamed;
      return EngineAnswer{kOk, streamed ? sink.take() : attempt.body};
    }
    const bool isGivenUp = isUndecidedAnswer(attempt) && services_.core.now() >= giveUpAt;
    if (decision == ItemRetryPolicy::Decision::Fail ||
        (decision == ItemRetryPolicy::Decision::Requeue && isGivenUp)) {
      return EngineAnswer{attempt.head.status, {}};
    }
    if (decision == ItemRetryPolicy::Decision::Requeue) {
      break;
    }
    if (!attempt.lastEventId.empty()) {
      opaque.resumeAfter = attempt.lastEventId;
    }
    if (needsBackoff(attempt)) {
      waitForBackoff(strand, yield);
    }
  }
  return makeError(ErrorCode::NoEngine, "no engine ran the item", retries.execution());
}

}  // namespace shedshed

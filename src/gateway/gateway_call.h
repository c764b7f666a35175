/// @file
/// State of a call as it passes through the gateway's filters.
#pragma once

#include "gateway/forwarder.h"
#include "gateway/opaque_call.h"
#include "serving/call_abort.h"
#include "serving/slot_lease.h"
#include "settings/settings.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// A complete, unstreamed response.
struct GatewayAnswer {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
  std::optional<Duration> retryAfter;  ///< `Retry-After`, sent as fractional seconds.
};

/// The state of a call. Used on its strand only.
struct GatewayCall {
  GatewayCall(const ServingStrand& callStrand, StreamSink& streamSink)
      : strand(callStrand), sink(streamSink) {}

  const ServingStrand& strand;
  StreamSink& sink;
  CallAbort abort;
  Time arrived{};
  std::string key;  ///< Caller's API key, empty if none. Never forwarded.
  OpaqueCall call;  ///< Target, headers and body as received; the filters set the rest.

  std::shared_ptr<const SettingsTree> settings;  ///< Set by the settings filter.
  const RouteSettings* route = nullptr;          ///< Set by the route filter; part of `settings`.
  SlotLease slots;                               ///< Set by the slot filter.

  GatewayAnswer answer;   ///< Set by the filter that answers the call.
  bool streamed = false;  ///< The complete answer was streamed to `sink`.
};

/// How the filter chain proceeds after a filter.
enum class GatewayStep {
  Continue,  ///< Apply the next filter.
  Answered,  ///< The call has its complete answer.
};

/// One filter of the chain. Shared by all calls, so it keeps no per-call state. An error ends the
/// chain and is sent as the call's answer.
class GatewayFilter {
 public:
  virtual ~GatewayFilter() = default;
  virtual Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) = 0;
};

/// Returns the answer to a failed call. It reports "not run" only if the call certainly did not
/// run.
GatewayAnswer gatewayErrorAnswer(const Error& error, const std::string& requestId);

}  // namespace shedshed

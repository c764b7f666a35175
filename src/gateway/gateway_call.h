/// @file
/// One caller's call on its way through the gateway's filters.
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

/// An answer that is sent as a whole.
struct GatewayAnswer {
  int status = 200;
  std::vector<HeaderField> headers;
  std::string body;
  std::optional<Duration> retryAfter;  ///< When to come back; sent in seconds, with fractions.
};

/// The state of a call. Used on its strand only.
struct GatewayCall {
  GatewayCall(const ServingStrand& callStrand, StreamSink& streamSink)
      : strand(callStrand), sink(streamSink) {}

  const ServingStrand& strand;
  StreamSink& sink;
  CallAbort abort;
  Time arrived{};
  std::string key;  ///< Of the caller; empty if it gave none. Never leaves this tier.
  OpaqueCall call;  ///< Headers, body and target as they came; the rest is set by the filters.

  std::shared_ptr<const SettingsTree> settings;  ///< Set by the settings filter.
  const RouteSettings* route = nullptr;          ///< Set by the route filter; part of `settings`.
  SlotLease slots;                               ///< Set by the slot filter.

  GatewayAnswer answer;   ///< Set by the filter that answers.
  bool streamed = false;  ///< The answer went to `sink`, and is whole.
};

/// What follows a filter.
enum class GatewayStep {
  Continue,  ///< The next filter.
  Answered,  ///< The call has its whole answer.
};

/// One step of the chain; keeps no state of a call. An error is sent as the call's answer.
class GatewayFilter {
 public:
  virtual ~GatewayFilter() = default;
  virtual Result<GatewayStep> apply(GatewayCall& call, boost::asio::yield_context yield) = 0;
};

/// Returns the answer to a call that failed: "not run" only if that is certain.
GatewayAnswer gatewayErrorAnswer(const Error& error, const std::string& requestId);

}  // namespace shedshed

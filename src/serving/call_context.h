/// @file
/// State of one call while it passes through the filter chain.
#pragma once

#include "serving/call_abort.h"
#include "serving/chat_request.h"
#include "serving/engine_answer_readers.h"
#include "serving/http_answer.h"
#include "serving/serving_threads.h"
#include "serving/slot_lease.h"
#include "settings/settings.h"

#include <cstdint>
#include <string>

namespace shedshed {

/// The endpoint that a request target names.
enum class CallKind {
  Unknown,
  ChatCompletion,
  BatchSubmit,
  BatchStatus,
  BatchResults,
  BatchUnfinished,
  BatchCancel,
  Health,
  Ready,
  Metrics,
};

/// A parsed request target.
struct CallTarget {
  CallKind kind = CallKind::Unknown;
  std::string batchId;
  std::uint64_t from = 0;
  std::uint32_t limit = 0;  ///< 0 if the query has no limit.
};

/// A parsed HTTP request of a caller.
struct CallRequest {
  std::string requestId;
  CallTarget target;
  std::string bearerKey;    ///< Empty if none was given.
  std::string contentType;  ///< Media type without parameters.
  std::string clientKey;    ///< `X-Client-Key`.
  bool repeatable = false;  ///< `X-Repeatable: true`.
  std::string body;
};

/// The state of a call. Must be used on the strand of the call only.
struct CallContext {
  CallContext(const ServingStrand& callStrand, EventSink& eventSink)
      : strand(callStrand), events(eventSink) {}

  const ServingStrand& strand;
  EventSink& events;
  CallAbort abort;
  CallRequest request;

  ChatRequest chat;            ///< Set by the syntax filter.
  std::string tenant;          ///< Set by the key filter.
  EffectiveSettings settings;  ///< Set by the settings filter.
  SlotLease slot;              ///< Set by the slot filter.

  HttpAnswer answer;      ///< Set by the filter that ends the chain.
  bool streamed = false;  ///< The complete answer was sent through `events`.
};

}  // namespace shedshed

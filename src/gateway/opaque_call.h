/// @file
/// A call whose method, target, headers and body are forwarded to an engine uninterpreted.
#pragma once

#include "gateway/forwarded_headers.h"
#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// A part of a prompt. Calls may share all parts but the last, which is the call's own.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// What the caller says about its prompt; a hint for load balancing.
struct PromptHints {
  std::vector<PromptPart> parts;  ///< In the order of the prompt.
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;
};

/// Parses "ID:TOKENS,ID:TOKENS,…" and "IN,OUT". A missing or malformed number counts as 0.
PromptHints parsePromptHints(std::string_view parts, std::string_view tokenCount);

/// A call that is to be forwarded to an engine.
struct OpaqueCall {
  std::string requestId;
  std::string method;
  std::string target;
  std::string host;
  ForwardedHeaders headers;
  std::string body;
  std::string tenant;   ///< Empty if the call has none.
  std::string service;  ///< Only engines of this service may run the call.
  PromptHints prompt;
  Time deadline = Time::max();   ///< The call fails once it has passed.
  bool forwardDeadline = false;  ///< Send the remaining time to the engine.
  bool idempotent = false;       ///< May run again after a failure.
  bool resumable = false;        ///< Another engine may continue the stream.
  std::uint32_t maxAttempts = 1;
  std::string suggestedEngine;  ///< Engine suggested by the owner of the call's slot, or empty.
  std::string resumeAfter;      ///< Last event id received by the caller; empty for a new stream.
};

}  // namespace shedshed

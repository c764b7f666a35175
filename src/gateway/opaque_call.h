/// @file
/// A call whose method, target, headers and body go to an engine unread.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// One header.
struct HeaderField {
  std::string name;
  std::string value;
  MSGPACK_DEFINE(name, value);
};

/// A part of a prompt: parts are shared between calls, the last one is the call's own.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// What a call says of its prompt; a hint for the choice of the engine.
struct PromptHints {
  std::vector<PromptPart> parts;  ///< In the order of the prompt.
  std::uint32_t promptTokens = 0;
  std::uint32_t maxOutputTokens = 0;  ///< Most that can come out.
};

/// Parses "ID:TOKENS,ID:TOKENS,…" and "IN,OUT". What cannot be read is left out.
PromptHints parsePromptHints(std::string_view parts, std::string_view tokenCount);

/// A call on its way to an engine.
struct OpaqueCall {
  std::string requestId;
  std::string method;
  std::string target;
  std::string host;
  std::vector<HeaderField> headers;  ///< Without those that concern one connection or this tier.
  std::string body;
  std::string tenant;   ///< Empty if the call has none.
  std::string service;  ///< Engines of this service may run it.
  PromptHints prompt;
  Time deadline = Time::max();   ///< No answer is wanted after it.
  bool forwardDeadline = false;  ///< Engines are told how much time is left.
  bool idempotent = false;       ///< May be run again after a failure.
  bool resumable = false;        ///< A stream may go on at another engine.
  std::uint32_t maxAttempts = 1;
  std::string suggestedEngine;  ///< Engine that the owner of the call's slot suggests, or empty.
  std::string resumeAfter;  ///< Id of the last event that the caller has; empty for a new stream.
};

/// True for headers that concern one connection only (RFC 9110, 7.6.1) and for `Content-Length`.
bool isConnectionHeader(std::string_view name);

/// Compares header names.
bool sameHeaderName(std::string_view left, std::string_view right);

}  // namespace shedshed

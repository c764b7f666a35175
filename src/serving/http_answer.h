/// @file
/// HTTP answers to callers and their error format (docs/API.md).
#pragma once

#include "kernel/error.h"
#include "kernel/http_status.h"
#include "kernel/time.h"
#include "settings/error_json.h"

#include <optional>
#include <string>

namespace shedshed {

/// A complete HTTP response.
struct HttpAnswer {
  int status = 200;
  std::string contentType = "application/json";
  std::string body;
  std::optional<Duration> retryAfter;  ///< Sent in whole seconds, rounded up.
};

/// Value of `Retry-After` for errors without a configured one.
inline constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

/// Builds the answer to a failed call. Sets `Retry-After` for 429 and 5xx.
HttpAnswer errorAnswer(const Error& error, const std::string& requestId);

}  // namespace shedshed

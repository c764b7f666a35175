/// @file
/// Names of the HTTP headers of requests and responses.
#pragma once

#include <string>

namespace shedshed {

/// The defaults are the product's names; a platform may override them.
struct HeaderNames {
  std::string requestId = "X-Request-Id";      ///< Request id, echoed in the response.
  std::string deadline = "X-Deadline-Ms";      ///< Milliseconds until the caller's deadline.
  std::string tokenCount = "X-Token-Count";    ///< Prompt tokens and maximum output tokens.
  std::string promptParts = "X-Prompt-Parts";  ///< Prompt parts as "ID:TOKENS,…".
  std::string tenant = "X-Tenant";             ///< Tenant name, sent to engines.
  std::string expectedEngine = "X-Engine";     ///< Id of the only engine that may respond.
  std::string notRun = "X-Not-Run";            ///< In a response: the engine did not run it.
  std::string signature = "X-Signature";       ///< Engine's signature in its responses.
  std::string resumeAfter = "Last-Event-Id";   ///< Last received event when resuming a stream.
  std::string keyScheme = "Bearer ";           ///< Prefix of the key in `Authorization`.
};

}  // namespace shedshed

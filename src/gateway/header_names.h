/// @file
/// Names of the headers that calls and answers carry.
#pragma once

#include <string>

namespace shedshed {

/// The defaults are the product's own; a platform with other names sets its own.
struct HeaderNames {
  std::string requestId = "X-Request-Id";      ///< Of a call, echoed in its answer.
  std::string deadline = "X-Deadline-Ms";      ///< Milliseconds that the caller still waits.
  std::string tokenCount = "X-Token-Count";    ///< Tokens of the prompt, and most out.
  std::string promptParts = "X-Prompt-Parts";  ///< Parts of the prompt as "ID:TOKENS,…".
  std::string tenant = "X-Tenant";             ///< Tenant's name, towards engines.
  std::string expectedEngine = "X-Engine";     ///< Id of the engine that alone may answer.
  std::string notRun = "X-Not-Run";            ///< In an answer: the engine did not run it.
  std::string signature = "X-Signature";       ///< Engine's mark in its own answers.
  std::string resumeAfter = "Last-Event-Id";   ///< Last event of a stream that goes on.
  std::string keyScheme = "Bearer ";           ///< Before the key in `Authorization`.
};

}  // namespace shedshed

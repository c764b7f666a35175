/// @file
/// What the tier reads from the body of a chat completion request.
#pragma once

#include "kernel/error.h"
#include "serving/prefix_table.h"

#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// The parts of a request that decide its way. The body itself goes to the engine as it came.
struct ChatRequest {
  std::string model;
  bool stream = false;
  std::vector<BlockHash> prompt;  ///< Block hashes of the concatenated messages.
};

/// Checks @p body and reads it. Fails with `InvalidArgument`; the detail names the member.
Result<ChatRequest> parseChatRequest(std::string_view body);

/// Returns @p body with `stream` set to false. Fails with `InvalidArgument`.
Result<std::string> disableStreaming(std::string_view body);

}  // namespace shedshed

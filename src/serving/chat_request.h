/// @file
/// Parsing of chat completion requests.
#pragma once

#include "kernel/error.h"
#include "serving/prefix_table.h"

#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

/// The members of a request that routing needs. The body is forwarded to the engine unchanged.
struct ChatRequest {
  std::string model;
  bool stream = false;
  std::vector<BlockHash> prompt;  ///< Block hashes of the concatenated messages.
};

/// Validates and parses @p body. Fails with `InvalidArgument`; the detail names the member.
Result<ChatRequest> parseChatRequest(std::string_view body);

/// Returns @p body with `stream` set to false. Fails with `InvalidArgument`.
Result<std::string> disableStreaming(std::string_view body);

}  // namespace shedshed

/// @file
/// Runs one request on an engine and buffers its response, for batch items.
#pragma once

#include "kernel/error.h"

#include <functional>
#include <string>

namespace shedshed {

/// One batch item's call.
struct EngineCall {
  std::string requestId;  ///< Sent to the engine, which must echo it.
  std::string model;
  std::string body;    ///< As submitted: JSON of a chat completion, or an encoded opaque call.
  std::string tenant;  ///< Tenant that owns the batch.
  std::string suggestedEngine;  ///< Engine that the owner of the item's slot suggests, or empty.
  /// False once the item must no longer be sent to an engine; called on the core thread.
  std::function<bool()> isWanted = [] { return true; };
};

/// A complete response.
struct EngineAnswer {
  int status = 0;
  std::string body;
};

/// Runs calls on engines. Core thread only. Implemented by `serving/`.
class EngineRunner {
 public:
  virtual ~EngineRunner() = default;

  /// Routes and runs @p call. @p done is called once, on the core thread. An error's `ran` is `No`
  /// if no byte was sent to an engine, else `Unknown`.
  virtual void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) = 0;

  /// Returns the model or service that an item with @p body requests; empty if no engine can ever
  /// serve it. By default the member `model` of a JSON object.
  virtual std::string modelOf(const std::string& body) const;
};

}  // namespace shedshed

/// @file
/// Runs one request on an engine and buffers its response, for batch items.
#pragma once

#include "kernel/error.h"
#include "kernel/time.h"

#include <cstdint>
#include <functional>
#include <string>

namespace shedshed {

/// One attempt to run a call on one engine, for logs.
struct EngineAttempt {
  std::string requestId;         ///< As sent to the engine.
  std::string engine;            ///< Id of the engine; empty if none was ready.
  std::uint64_t connection = 0;  ///< Number of the connection in this process; 0 if none was open.
  std::uint32_t exchange = 0;    ///< Number of the exchange on that connection, from 1.
  int status = 0;                ///< HTTP status of a complete response; 0 without one.
  std::string error;             ///< Type of the error if there is no complete response.
};

/// Where an item is to run, by the settings in force.
struct ItemTarget {
  std::string
      model;  ///< Model, or service of the item's route; empty if no engine can ever run it.
  Time giveUpAt = Time::max();  ///< From then on an unfinished item is to be listed as failed.
};

/// One batch item's call.
struct EngineCall {
  std::string requestId;  ///< Sent to the engine, which must echo it.
  std::string model;      ///< Whose lent capacity the item holds: `ItemTarget::model`.
  std::string body;       ///< As submitted: JSON of a chat completion, or an encoded opaque call.
  std::string tenant;     ///< Tenant that owns the batch.
  std::string suggestedEngine;  ///< Engine that the owner of the item's slot suggests, or empty.
  Time acceptedBefore{};        ///< When this node knew that the batch had been accepted.
  std::uint32_t failedAttempts = 0;  ///< Answers of 500 that earlier calls of the item received.
  /// False once the item must no longer be sent to an engine; called on the core thread.
  std::function<bool()> isWanted = [] { return true; };
  /// Called on the core thread after each attempt, before `done`.
  std::function<void(const EngineAttempt&)> onAttempt = [](const EngineAttempt&) {};
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
  /// if no byte was sent to an engine, else `Unknown`. Fails with `NotReady` if the item's target
  /// is no longer `EngineCall::model`.
  virtual void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) = 0;

  /// Returns where an item with @p body is to run now. Fails with `NotReady` if that can't be told
  /// yet: the settings of this node are not proved to be as new as @p acceptedBefore, a time at
  /// which the batch had been accepted. By default the member `model` of a JSON object.
  virtual Result<ItemTarget> targetOf(const std::string& body, Time acceptedBefore) const;

  /// Returns another value once `targetOf` may have another result for an item that waits.
  virtual std::uint64_t targetsVersion() { return 0; }
};

}  // namespace shedshed

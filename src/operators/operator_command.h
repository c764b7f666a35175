/// @file
/// Decoded operators' calls, which run on the core thread.
#pragma once

#include "operators/operator_services.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace shedshed {

/// The complete answer to a command.
struct CommandReply {
  unsigned status = 200;  ///< HTTP status.
  std::string contentType = "application/json";
  std::string body;
  std::optional<std::uint64_t> version;  ///< Sent as `ETag`.
  std::optional<Error> error;            ///< If set, the server builds the body from it.
};

/// Called once with the answer, on any thread.
using CommandDone = std::function<void(CommandReply)>;

/// A decoded call. It stays alive until it is answered.
class OperatorCommand {
 public:
  virtual ~OperatorCommand() = default;

  /// Runs on the core thread. Must not block; @p done may be called later.
  virtual void execute(OperatorServices& services, CommandDone done) = 0;

  /// True if the command may change state: without an answer in time its outcome is unknown, and
  /// must never be reported as a refusal.
  virtual bool changesState() const { return false; }
};

/// Returns a reply with @p body as JSON.
CommandReply jsonReply(std::string body, std::optional<std::uint64_t> version = std::nullopt);

/// Returns a reply that carries @p error, with the status of `httpStatusOf`.
CommandReply errorReply(Error error);

}  // namespace shedshed

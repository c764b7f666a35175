/// @file
/// Authenticates, decodes and runs operators' calls, independent of the HTTP library.
#pragma once

#include "operators/command_runner.h"
#include "operators/operator_call.h"

#include <string>

namespace shedshed {

/// Thread-safe.
class OperatorCallHandler {
 public:
  OperatorCallHandler(const std::string& key, OperatorServices& services, CommandRunner& runner);

  /// Answers @p call; blocks until its command is answered. `/healthz` and `/readyz` need no key,
  /// so that a platform can use them as health checks.
  CommandReply handle(const OperatorCall& call);

 private:
  bool isAuthenticated(const OperatorCall& call) const;

  /// Digest of the key; its fixed length allows a comparison in constant time.
  std::string keyDigest_;
  OperatorServices& services_;
  CommandRunner& runner_;
};

}  // namespace shedshed

/// @file
/// HTTP server for the operators of one process.
#pragma once

#include "operators/operator_services.h"

#include <chrono>
#include <memory>
#include <string>

namespace shedshed {

/// Limits of the operators' HTTP server.
struct OperatorsServerLimits {
  /// Longest wait for a command. Longer than the register's own time-out, so that the register's
  /// answer is the one that is returned.
  std::chrono::milliseconds commandDeadline = std::chrono::seconds(10);
  std::size_t maxBodyBytes = 2U << 20U;
  unsigned maxThreads = 16;
};

/// Serves operators' calls with cxxtools HTTP on its own threads. Each call is decoded into a
/// command, which runs on the core thread; its answer is sent once it is complete.
class OperatorsServer {
 public:
  /// @p address is "ip:port"; @p key the operators' bearer key. @p services and @p executor must
  /// outlive this object and every task posted to the executor.
  OperatorsServer(std::string address, std::string key, OperatorServices& services,
                  OperatorExecutor& executor, OperatorsServerLimits limits = {});
  ~OperatorsServer();
  OperatorsServer(const OperatorsServer&) = delete;
  OperatorsServer& operator=(const OperatorsServer&) = delete;

  /// Listens and starts the threads. Fails with `InvalidArgument` if the address cannot be bound.
  Status start();

  /// Ends all waits and joins the threads. Must not be called on the core thread while a command
  /// runs there.
  void stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shedshed

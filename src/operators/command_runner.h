/// @file
/// Runs commands on the core thread and waits for their answers on HTTP threads.
#pragma once

#include "operators/operator_command.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <set>

namespace shedshed {

/// Lets HTTP threads wait for commands on the core thread. Thread-safe.
class CommandRunner {
 public:
  /// Runs commands through @p executor with @p services; waits at most @p deadline for each.
  CommandRunner(OperatorServices& services, OperatorExecutor& executor,
                std::chrono::milliseconds deadline);
  ~CommandRunner();

  /// Posts @p command and waits for its answer. After the deadline, or once `stop` was called, a
  /// command that may change state is answered `OutcomeUnknown`; any other `DeadlineExceeded` or
  /// `Draining`.
  CommandReply run(std::unique_ptr<OperatorCommand> command);

  /// Ends all waits, also later ones.
  void stop();

 private:
  class PendingReply;

  std::shared_ptr<PendingReply> addPending();
  void removePending(const std::shared_ptr<PendingReply>& pending);

  OperatorServices& services_;
  OperatorExecutor& executor_;
  std::chrono::milliseconds deadline_;
  std::mutex mutex_;
  bool stopping_ = false;
  std::set<std::shared_ptr<PendingReply>> pending_;
};

}  // namespace shedshed

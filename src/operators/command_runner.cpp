#include "operators/command_runner.h"

#include <condition_variable>

namespace shedshed {

/// Hands the answer to one command from the core thread to the waiting HTTP thread.
class CommandRunner::PendingReply {
 public:
  void complete(CommandReply reply) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!reply_) {
      reply_ = std::move(reply);
    }
    changed_.notify_all();
  }

  void abandon() {
    const std::lock_guard<std::mutex> lock(mutex_);
    abandoned_ = true;
    changed_.notify_all();
  }

  /// Returns the answer; nullopt after @p deadline or `abandon`.
  std::optional<CommandReply> wait(std::chrono::milliseconds deadline) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(lock, deadline, [this] { return reply_.has_value() || abandoned_; });
    return reply_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<CommandReply> reply_;
  bool abandoned_ = false;
};

CommandRunner::CommandRunner(OperatorServices& services, OperatorExecutor& executor,
                             std::chrono::milliseconds deadline)
    : services_(services), executor_(executor), deadline_(deadline) {}

CommandRunner::~CommandRunner() = default;

std::shared_ptr<CommandRunner::PendingReply> CommandRunner::addPending() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopping_) {
    return nullptr;
  }
  auto pending = std::make_shared<PendingReply>();
  pending_.insert(pending);
  return pending;
}

void CommandRunner::removePending(const std::shared_ptr<PendingReply>& pending) {
  const std::lock_guard<std::mutex> lock(mutex_);
  pending_.erase(pending);
}

CommandReply CommandRunner::run(std::unique_ptr<OperatorCommand> command) {
  const std::shared_ptr<PendingReply> pending = addPending();
  if (!pending) {
    return errorReply(makeError(ErrorCode::Draining, "this process is stopping"));
  }
  // The completion callback owns the command, so that the command outlives an abandoned wait.
  const std::shared_ptr<OperatorCommand> shared = std::move(command);
  executor_.post([shared, pending, &services = services_] {
    shared->execute(services,
                    [shared, pending](CommandReply reply) { pending->complete(std::move(reply)); });
  });
  std::optional<CommandReply> reply = pending->wait(deadline_);
  removePending(pending);
  if (reply) {
    return std::move(*reply);
  }
  if (shared->changesState()) {
    return errorReply(makeError(ErrorCode::OutcomeUnknown,
                                "no answer in time; resend with the same Order-Id", Ran::Unknown));
  }
  return errorReply(makeError(ErrorCode::DeadlineExceeded, "no answer in time"));
}

void CommandRunner::stop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  stopping_ = true;
  for (const auto& pending : pending_) {
    pending->abandon();
  }
}

}  // namespace shedshed

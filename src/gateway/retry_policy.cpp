#include "gateway/retry_policy.h"

namespace shedshed {
namespace {

constexpr int kFirstServerError = 500;
/// Maximum number of rejected attempts per call.
constexpr std::uint32_t kMaxRejections = 4;

}  // namespace

RetryPolicy::RetryPolicy(const OpaqueCall& call)
    : repeatable_(call.idempotent || call.resumable), resumable_(call.resumable),
      maxAttempts_(call.maxAttempts) {}

bool RetryPolicy::allowsAnotherExecution() const {
  return repeatable_ && executions_ + 1 < maxAttempts_;
}

RetryPolicy::Decision RetryPolicy::onAttempt(const UpstreamAttempt& attempt) {
  responseStarted_ = responseStarted_ || attempt.responseStarted;
  switch (attempt.outcome) {
  case AttemptOutcome::Streamed:
    return Decision::Finish;
  case AttemptOutcome::Answered:
    return afterAnswer(attempt);
  case AttemptOutcome::Failed:
    return afterFailure();
  case AttemptOutcome::Rejected:
    return afterRejection(attempt);
  }
  return Decision::Finish;
}

RetryPolicy::Decision RetryPolicy::afterAnswer(const UpstreamAttempt& attempt) {
  const bool isServerError = attempt.head.status >= kFirstServerError;
  if (!isServerError || !allowsAnotherExecution() || responseStarted_) {
    return Decision::Finish;
  }
  ++executions_;
  return Decision::Retry;
}

RetryPolicy::Decision RetryPolicy::afterFailure() {
  const bool isAllowed = allowsAnotherExecution();
  ++executions_;
  // A client that has received part of a stream can only be sent the rest of the same stream.
  const bool canContinue = !responseStarted_ || resumable_;
  return isAllowed && canContinue ? Decision::Retry : Decision::Finish;
}

RetryPolicy::Decision RetryPolicy::afterRejection(const UpstreamAttempt& attempt) {
  ++rejections_;
  const bool exhausted = attempt.noEngineLeft || rejections_ >= kMaxRejections;
  return exhausted ? Decision::Finish : Decision::Retry;
}

}  // namespace shedshed

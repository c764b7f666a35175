#include "gateway/item_retry_policy.h"

namespace shedshed {
namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kUnprocessable = 422;
constexpr int kInternalServerError = 500;

/// Rejections after which the item is requeued.
constexpr std::uint32_t kMaxRejections = 3;
/// Inconclusive attempts after which the item is requeued.
constexpr std::uint32_t kMaxInconclusive = 12;

}  // namespace

bool isFailedAttempt(int status) {
  return status == kInternalServerError;
}

ItemRetryPolicy::Decision ItemRetryPolicy::onAttempt(const UpstreamAttempt& attempt) {
  switch (attempt.outcome) {
  case AttemptOutcome::Streamed:
    return Decision::Complete;
  case AttemptOutcome::Answered:
    return onAnswer(attempt.head.status);
  case AttemptOutcome::Failed:
    return onInconclusive();
  case AttemptOutcome::Rejected:
    return onRejection();
  }
  return Decision::Requeue;
}

ItemRetryPolicy::Decision ItemRetryPolicy::onAnswer(int status) {
  if (status >= kFirstSuccess && status < kFirstRedirect) {
    return Decision::Complete;
  }
  if (status == kUnprocessable) {
    return Decision::Fail;
  }
  if (!isFailedAttempt(status)) {
    return onInconclusive();
  }
  mayHaveRun_ = true;
  ++failedAnswers_;
  return failedAnswers_ >= maxFailedAnswers_ ? Decision::Fail : Decision::Retry;
}

ItemRetryPolicy::Decision ItemRetryPolicy::onInconclusive() {
  mayHaveRun_ = true;
  ++inconclusive_;
  return inconclusive_ >= kMaxInconclusive ? Decision::Requeue : Decision::Retry;
}

ItemRetryPolicy::Decision ItemRetryPolicy::onRejection() {
  ++rejections_;
  return rejections_ >= kMaxRejections ? Decision::Requeue : Decision::Retry;
}

}  // namespace shedshed

/// @file
/// Decides whether a call may be sent to another engine.
#pragma once

#include "gateway/opaque_call.h"
#include "gateway/upstream_attempt.h"

#include <cstdint>

namespace shedshed {

/// The attempts of one call so far, and whether another one is allowed. A call runs at most once
/// unless it is idempotent or resumable; attempts that no engine ran do not count as executions.
/// Used by one coroutine.
class RetryPolicy {
 public:
  enum class Decision {
    Finish,  ///< The last attempt is the call's result.
    Retry,   ///< Send the call to another engine.
  };

  explicit RetryPolicy(const OpaqueCall& call);

  /// Returns true if the call may be retried even after an engine has run the next attempt.
  bool allowsAnotherExecution() const;

  /// Records @p attempt and decides what follows it.
  Decision onAttempt(const UpstreamAttempt& attempt);

  /// `Ran::No` only if no recorded attempt can have run the call.
  Ran execution() const { return executions_ > 0 ? Ran::Unknown : Ran::No; }

  /// True once bytes of a stream have been sent on to the client.
  bool responseStarted() const { return responseStarted_; }

 private:
  Decision afterAnswer(const UpstreamAttempt& attempt);
  Decision afterFailure();
  Decision afterRejection(const UpstreamAttempt& attempt);

  const bool repeatable_;  ///< Idempotent or resumable.
  const bool resumable_;
  const std::uint32_t maxAttempts_;
  std::uint32_t executions_ = 0;  ///< Attempts that an engine ran or may have run.
  std::uint32_t rejections_ = 0;  ///< Attempts that no engine ran.
  bool responseStarted_ = false;
};

}  // namespace shedshed

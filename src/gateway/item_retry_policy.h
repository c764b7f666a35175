/// @file
/// Decides whether a batch item is sent to an engine again.
#pragma once

#include "gateway/upstream_attempt.h"
#include "kernel/error.h"

#include <cstdint>

namespace shedshed {

/// The attempts of one call of a batch item so far, and what follows.
///
/// An item fails for good after a 422, or after as many answers of 500 as its route allows
/// attempts. Any other answer without success says nothing about the item: it is sent again, like
/// after a broken exchange. Used by one coroutine.
class ItemRetryPolicy {
 public:
  enum class Decision {
    Complete,  ///< The last attempt has the item's result.
    Fail,      ///< No further attempt is allowed.
    Retry,     ///< Send the item to another engine.
    Requeue,   ///< End this call; the item is to be run again later.
  };

  /// @p maxFailedAnswers answers of 500 are allowed, @p failedAnswers of which earlier calls of the
  /// item have received.
  ItemRetryPolicy(std::uint32_t maxFailedAnswers, std::uint32_t failedAnswers)
      : maxFailedAnswers_(maxFailedAnswers), failedAnswers_(failedAnswers) {}

  /// Records @p attempt and decides what follows it.
  Decision onAttempt(const UpstreamAttempt& attempt);

  /// `Ran::No` only if no recorded attempt can have run the item.
  Ran execution() const { return mayHaveRun_ ? Ran::Unknown : Ran::No; }

 private:
  Decision onAnswer(int status);
  Decision onInconclusive();
  Decision onRejection();

  const std::uint32_t maxFailedAnswers_;
  std::uint32_t failedAnswers_;
  std::uint32_t inconclusive_ = 0;  ///< Attempts that may have run and decide nothing.
  std::uint32_t rejections_ = 0;    ///< Attempts that no engine ran.
  bool mayHaveRun_ = false;
};

/// Returns true if @p status of a complete answer counts as one of the attempts that an item has.
bool isFailedAttempt(int status);

}  // namespace shedshed

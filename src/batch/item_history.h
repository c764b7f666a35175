/// @file
/// What engines have done with one item.
#pragma once

#include "engines/engine_runner.h"

#include <cstdint>
#include <deque>
#include <string>

namespace shedshed {

/// The engine calls of one item in one run, so that a failed item can be explained. Kept until the
/// item has a result. Core thread only.
class ItemHistory {
 public:
  /// Attempts that are kept; older ones are dropped.
  static constexpr std::size_t kMaxAttempts = 16;

  /// A call begins; it consists of any number of attempts.
  void callStarted() { ++calls_; }
  /// The last call did not reach an engine and does not count.
  void callNotRun() { --calls_; }
  /// Calls that may have reached an engine.
  std::uint32_t calls() const { return calls_; }

  /// Records an attempt of the current call.
  void add(const EngineAttempt& attempt);

  /// Attempts that an engine has answered with 500.
  std::uint32_t failedAttempts() const { return failedAttempts_; }

  /// The request id that engines received; empty before the first attempt.
  const std::string& requestId() const { return requestId_; }

  /// The attempts on one line, oldest first: "ENGINE/CONNECTION.EXCHANGE:STATUS" each, with the
  /// type of the error in place of a status if there was no complete response.
  std::string text() const;

 private:
  std::uint32_t calls_ = 0;
  std::uint32_t failedAttempts_ = 0;
  std::uint64_t dropped_ = 0;  ///< Attempts that are no longer kept.
  std::string requestId_;
  std::deque<EngineAttempt> attempts_;
};

}  // namespace shedshed

/// @file
/// Cancellation of a call whose caller has disconnected.
#pragma once

#include <functional>
#include <utility>

namespace shedshed {

/// Cancellation signal of one call, raised at most once, when the caller disconnects. Must be used
/// on the strand of the call only.
class CallAbort {
 public:
  /// Marks the call as aborted and cancels the operation that it waits for.
  void abort() {
    aborted_ = true;
    if (stop_) {
      std::exchange(stop_, nullptr)();
    }
  }

  bool aborted() const { return aborted_; }

  /// Registers @p stop for its lifetime; `abort` calls it at most once.
  class Scope {
   public:
    Scope(CallAbort& abort, std::function<void()> stop) : abort_(abort) {
      abort_.stop_ = std::move(stop);
    }
    ~Scope() { abort_.stop_ = nullptr; }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    CallAbort& abort_;
  };

 private:
  bool aborted_ = false;
  std::function<void()> stop_;
};

}  // namespace shedshed

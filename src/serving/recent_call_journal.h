/// @file
/// In-memory journal of a node's most recent calls.
#pragma once

#include "serving/call_journal.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace shedshed {

/// Most calls kept by a node.
inline constexpr std::size_t kMaxRecentCalls = 4096;
/// Most steps kept per call; later steps are only counted.
inline constexpr std::size_t kMaxStepsPerCall = 24;
/// Length to which the detail of a step is truncated, in bytes.
inline constexpr std::size_t kMaxStepDetailBytes = 200;

/// Keeps the steps of the most recent calls. Evicts the call that started first. Thread-safe.
class RecentCallJournal : public CallJournal {
 public:
  /// @p now returns the monotonic time; it is called on any thread.
  explicit RecentCallJournal(std::function<Time()> now, std::size_t capacity = kMaxRecentCalls)
      : now_(std::move(now)), capacity_(capacity) {}

  void record(const std::string& requestId, const char* step, std::string detail) override;

  /// Returns the steps of a call as JSON, or nullopt if the call is unknown or evicted.
  std::optional<std::string> explain(const std::string& requestId) const;

 private:
  struct Step {
    Duration after;  ///< Since the first step of the call.
    const char* name;
    std::string detail;
  };
  struct CallRecord {
    Time startedAt;
    std::vector<Step> steps;
    std::uint64_t dropped = 0;
  };

  const std::function<Time()> now_;
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::map<std::string, CallRecord> calls_;
  std::deque<std::string> order_;  ///< Request ids, oldest first.
};

}  // namespace shedshed

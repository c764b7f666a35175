/// @file
/// The last calls of a data node, in memory.
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

/// Calls that a node remembers.
inline constexpr std::size_t kMaxRecentCalls = 4096;
/// Steps kept of one call; later ones are counted only.
inline constexpr std::size_t kMaxStepsPerCall = 24;
/// Bytes kept of one step's detail.
inline constexpr std::size_t kMaxStepDetailBytes = 200;

/// Keeps the notes of the last calls; the call that began first is forgotten first.
class RecentCallJournal : public CallJournal {
 public:
  /// @p now tells the monotonic time on any thread.
  explicit RecentCallJournal(std::function<Time()> now, std::size_t capacity = kMaxRecentCalls)
      : now_(std::move(now)), capacity_(capacity) {}

  void record(const std::string& requestId, const char* step, std::string detail) override;

  /// Returns the notes of a call as JSON; nullopt if it is not remembered. Thread-safe.
  std::optional<std::string> explain(const std::string& requestId) const;

 private:
  struct Step {
    Duration after;  ///< Since the call's first note.
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
  std::deque<std::string> order_;  ///< Oldest first.
};

}  // namespace shedshed

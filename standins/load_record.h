/// @file
/// Results of the load generator and their JSON form.
#pragma once

#include "standins/load_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedshed::standin {

/// Outcome of one call.
struct CallRecord {
  std::string outcome;  ///< "ok", "broken", "timeout", "connect", or the type of an error response.
  int status = 0;       ///< HTTP status; 0 if there was no response.
  bool retryAfter = false;  ///< The response has a Retry-After header.
  std::string requestId;
  double arrivedSeconds = 0;                 ///< Planned arrival, from the start of the run.
  std::uint64_t firstTokenMicroseconds = 0;  ///< 0 if no token was received.
  std::uint64_t totalMicroseconds = 0;
};

/// Calls that arrived in one interval of the timeline.
struct TimelineEntry {
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t refused = 0;
  LatencyHistogram firstToken;
};

/// Aggregated results of one caller class.
class ClassResults {
 public:
  explicit ClassResults(double timelineSeconds) : timelineSeconds_(timelineSeconds) {}

  /// Adds one finished call.
  void add(const CallRecord& call);
  /// Adds one inter-token latency of a stream.
  void addBetweenTokens(std::uint64_t microseconds) { betweenTokens_.record(microseconds); }

  /// Returns the results as a JSON object, without a trailing newline.
  std::string json(const std::string& name) const;

 private:
  TimelineEntry& entryAt(double seconds);

  double timelineSeconds_;
  std::uint64_t sent_ = 0;
  std::map<std::string, std::uint64_t> outcomes_;
  std::uint64_t refusals_ = 0;
  std::uint64_t refusalsWithRetryAfter_ = 0;
  std::vector<std::string> refusedIds_;
  LatencyHistogram firstToken_;
  LatencyHistogram betweenTokens_;
  LatencyHistogram total_;
  LatencyHistogram refusal_;
  std::vector<TimelineEntry> timeline_;
};

}  // namespace shedshed::standin

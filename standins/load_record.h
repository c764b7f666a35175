/// @file
/// What the stand-in callers saw, and its JSON.
#pragma once

#include "standins/load_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedshed::standin {

/// Outcome of one call.
struct CallRecord {
  std::string outcome;  ///< "ok", the error type of a refusal, or "broken", "timeout", "connect".
  int status = 0;       ///< HTTP status; 0 without an answer.
  bool retryAfter = false;  ///< The answer says when to come back.
  std::string requestId;
  double arrivedSeconds = 0;                 ///< Since the start of the run.
  std::uint64_t firstTokenMicroseconds = 0;  ///< 0 without a first token.
  std::uint64_t totalMicroseconds = 0;
};

/// One entry of the timeline: calls by the time of their arrival.
struct TimelineEntry {
  std::uint64_t sent = 0;
  std::uint64_t ok = 0;
  std::uint64_t refused = 0;
  LatencyHistogram firstToken;
};

/// Results of one class.
class ClassResults {
 public:
  explicit ClassResults(double timelineSeconds) : timelineSeconds_(timelineSeconds) {}

  /// Adds one finished call.
  void add(const CallRecord& call);
  /// Adds the time between two tokens of one stream.
  void addBetweenTokens(std::uint64_t microseconds) { betweenTokens_.record(microseconds); }

  /// The results as a JSON object, without a newline.
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

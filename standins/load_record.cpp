#include "standins/load_record.h"

#include <cjson/cJSON.h>

namespace shedshed::standin {
namespace {

constexpr int kTooManyRequests = 429;
constexpr double kMicrosecondsPerMillisecond = 1000;

double milliseconds(double microseconds) {
  return microseconds / kMicrosecondsPerMillisecond;
}

cJSON* histogramJson(const LatencyHistogram& histogram) {
  cJSON* json = cJSON_CreateObject();
  cJSON_AddNumberToObject(json, "count", static_cast<double>(histogram.count()));
  cJSON_AddNumberToObject(json, "mean", milliseconds(histogram.mean()));
  const std::pair<const char*, double> quantiles[] = {
      {"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p999", 0.999}};
  for (const auto& quantile : quantiles) {
    const double value = static_cast<double>(histogram.valueAt(quantile.second));
    cJSON_AddNumberToObject(json, quantile.first, milliseconds(value));
  }
  cJSON_AddNumberToObject(json, "max", milliseconds(static_cast<double>(histogram.maximum())));
  return json;
}

cJSON* timelineJson(const std::vector<TimelineEntry>& timeline, double width) {
  cJSON* array = cJSON_CreateArray();
  for (std::size_t i = 0; i < timeline.size(); ++i) {
    const TimelineEntry& entry = timeline[i];
    cJSON* json = cJSON_CreateObject();
    cJSON_AddNumberToObject(json, "at_s", width * static_cast<double>(i));
    cJSON_AddNumberToObject(json, "sent", static_cast<double>(entry.sent));
    cJSON_AddNumberToObject(json, "ok", static_cast<double>(entry.ok));
    cJSON_AddNumberToObject(json, "refused", static_cast<double>(entry.refused));
    const double median = static_cast<double>(entry.firstToken.valueAt(0.5));
    const double p90 = static_cast<double>(entry.firstToken.valueAt(0.9));
    cJSON_AddNumberToObject(json, "first_token_p50_ms", milliseconds(median));
    cJSON_AddNumberToObject(json, "first_token_p90_ms", milliseconds(p90));
    cJSON_AddItemToArray(array, json);
  }
  return array;
}

}  // namespace

TimelineEntry& ClassResults::entryAt(double seconds) {
  const auto index = static_cast<std::size_t>(seconds / timelineSeconds_);
  if (timeline_.size() <= index) {
    timeline_.resize(index + 1);
  }
  return timeline_[index];
}

void ClassResults::add(const CallRecord& call) {
  TimelineEntry& entry = entryAt(call.arrivedSeconds);
  ++sent_;
  ++entry.sent;
  ++outcomes_[call.outcome];
  if (call.status == kTooManyRequests) {
    ++refusals_;
    ++entry.refused;
    refusalsWithRetryAfter_ += call.retryAfter ? 1 : 0;
    refusedIds_.push_back(call.requestId);
    refusal_.record(call.totalMicroseconds);
  }
  if (call.outcome == "ok") {
    ++entry.ok;
    total_.record(call.totalMicroseconds);
  }
  if (call.firstTokenMicroseconds != 0) {
    firstToken_.record(call.firstTokenMicroseconds);
    entry.firstToken.record(call.firstTokenMicroseconds);
  }
}

std::string ClassResults::json(const std::string& name) const {
  cJSON* root = cJSON_CreateObject();
  cJSON_AddStringToObject(root, "name", name.c_str());
  cJSON_AddNumberToObject(root, "sent", static_cast<double>(sent_));
  cJSON* outcomes = cJSON_AddObjectToObject(root, "outcomes");
  for (const auto& outcome : outcomes_) {
    cJSON_AddNumberToObject(outcomes, outcome.first.c_str(), static_cast<double>(outcome.second));
  }
  cJSON_AddNumberToObject(root, "refusals", static_cast<double>(refusals_));
  cJSON_AddNumberToObject(root, "refusals_with_retry_after",
                          static_cast<double>(refusalsWithRetryAfter_));
  cJSON_AddItemToObject(root, "first_token_ms", histogramJson(firstToken_));
  cJSON_AddItemToObject(root, "between_tokens_ms", histogramJson(betweenTokens_));
  cJSON_AddItemToObject(root, "total_ms", histogramJson(total_));
  cJSON_AddItemToObject(root, "refusal_ms", histogramJson(refusal_));
  cJSON_AddItemToObject(root, "timeline", timelineJson(timeline_, timelineSeconds_));
  cJSON* ids = cJSON_AddArrayToObject(root, "refused_ids");
  for (const std::string& id : refusedIds_) {
    cJSON_AddItemToArray(ids, cJSON_CreateString(id.c_str()));
  }
  char* text = cJSON_PrintUnformatted(root);
  std::string result = text;
  cJSON_free(text);
  cJSON_Delete(root);
  return result;
}

}  // namespace shedshed::standin

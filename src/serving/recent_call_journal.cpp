#include "serving/recent_call_journal.h"

#include "settings/json.h"

#include <algorithm>

namespace shedshed {

void RecentCallJournal::record(const std::string& requestId, const char* step, std::string detail) {
  detail.resize(std::min(detail.size(), kMaxStepDetailBytes));
  const Time now = now_();
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto added = calls_.try_emplace(requestId);
  CallRecord& call = added.first->second;
  if (added.second) {
    call.startedAt = now;
    order_.push_back(requestId);
  }
  if (call.steps.size() < kMaxStepsPerCall) {
    call.steps.push_back({now - call.startedAt, step, std::move(detail)});
  } else {
    ++call.dropped;
  }
  if (order_.size() > capacity_) {
    calls_.erase(order_.front());
    order_.pop_front();
  }
}

std::optional<std::string> RecentCallJournal::explain(const std::string& requestId) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = calls_.find(requestId);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  const CallRecord& call = found->second;
  const JsonDocument document = JsonDocument::object();
  cJSON_AddStringToObject(document.root(), "request_id", requestId.c_str());
  cJSON* steps = cJSON_AddArrayToObject(document.root(), "steps");
  for (const Step& step : call.steps) {
    cJSON* item = cJSON_CreateObject();
    addUnsigned(item, "after_ms", static_cast<std::uint64_t>(toMilliseconds(step.after)));
    cJSON_AddStringToObject(item, "step", step.name);
    cJSON_AddStringToObject(item, "detail", step.detail.c_str());
    cJSON_AddItemToArray(steps, item);
  }
  addUnsigned(document.root(), "dropped_steps", call.dropped);
  return document.print();
}

}  // namespace shedshed

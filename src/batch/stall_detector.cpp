#include "batch/stall_detector.h"

namespace shedshed {

void StallDetector::onProgress(const std::string& model) {
  ModelState& state = models_[model];
  state.since.reset();
  state.obstacle.clear();
}

StallChanges StallDetector::check(const std::map<std::string, std::uint32_t>& waiting, Time now) {
  StallChanges changes;
  stalledItems_ = 0;
  for (auto& [model, state] : models_) {
    if (state.reported && !state.since) {
      changes.ended.push_back(model);
      state.reported = false;
    }
  }
  for (const auto& [model, count] : waiting) {
    ModelState& state = models_[model];
    state.since = state.since.value_or(now);
    if (now - *state.since < kStallTimeout) {
      continue;
    }
    stalledItems_ += count;
    if (!state.reported) {
      changes.begun.push_back({model, count, now - *state.since, state.obstacle});
      state.reported = true;
    }
  }
  return changes;
}

}  // namespace shedshed

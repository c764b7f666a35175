/// @file
/// Detects items of a run that wait while none of their model is finished.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// Items of one model that wait without progress.
struct ItemStall {
  std::string model;
  std::uint32_t waiting = 0;  ///< Number of waiting items.
  Duration age{0};            ///< Time since the last progress.
  std::string obstacle;  ///< Why the last attempt to start or run an item failed; may be empty.
};

/// Changes of state since the previous check.
struct StallChanges {
  std::vector<ItemStall> begun;
  std::vector<std::string> ended;  ///< Models whose reported stall is over.
};

/// Tells an operator why accepted items are not finished: per model of one run, the time since an
/// item was finished and the last obstacle. Each stall is reported once, and once when it ends.
/// Core thread only.
class StallDetector {
 public:
  /// Waiting items count as stalled after this time without progress.
  static constexpr Duration kStallTimeout = std::chrono::seconds(5);

  /// An attempt to start or run an item of @p model has failed because of @p obstacle.
  void onObstacle(const std::string& model, std::string obstacle) {
    models_[model].obstacle = std::move(obstacle);
  }
  /// An item of @p model is finished.
  void onProgress(const std::string& model);

  /// Updates the stalls. @p waiting has the number of waiting items by model.
  StallChanges check(const std::map<std::string, std::uint32_t>& waiting, Time now);

  /// Number of waiting items in stalls at the last check.
  std::uint32_t stalledItems() const { return stalledItems_; }

 private:
  struct ModelState {
    std::optional<Time> since;  ///< Begin of the wait; unset by progress.
    std::string obstacle;
    bool reported = false;
  };

  std::map<std::string, ModelState> models_;
  std::uint32_t stalledItems_ = 0;
};

}  // namespace shedshed

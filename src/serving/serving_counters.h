/// @file
/// Metrics interface of the serving path.
#pragma once

#include <string_view>

namespace shedshed {

/// Receives counters and durations of the serving path. Thread-safe.
class ServingCounters {
 public:
  virtual ~ServingCounters() = default;

  /// Adds @p amount to the counter @p name, which ends in `_total`.
  virtual void add(std::string_view name, double amount) = 0;

  /// Adds one observation of @p seconds to the histogram @p name, which ends in `_seconds`.
  virtual void observe(std::string_view name, double seconds) = 0;
};

}  // namespace shedshed

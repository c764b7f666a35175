/// @file
/// Counters, gauges and histograms of the process, implemented with prometheus-cpp.
#pragma once

#include "kernel/core.h"

#include <map>
#include <memory>
#include <mutex>
#include <prometheus/registry.h>
#include <string>

namespace shedshed {

/// Metrics by name, created on first use. Thread-safe.
class Metrics : public Counters {
 public:
  Metrics();
  void add(std::string_view name, double amount) override;
  void set(std::string_view name, double value) override;
  /// Adds @p seconds to the latency histogram @p name.
  void observe(std::string_view name, double seconds);
  /// Returns all metrics in the Prometheus text format, with the name prefix "shedshed_".
  std::string text() const;

 private:
  prometheus::Registry registry_;
  std::mutex mutex_;
  std::map<std::string, prometheus::Counter*, std::less<>> counters_;
  std::map<std::string, prometheus::Gauge*, std::less<>> gauges_;
  std::map<std::string, prometheus::Histogram*, std::less<>> histograms_;
};

}  // namespace shedshed

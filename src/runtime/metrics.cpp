#include "runtime/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace shedshed {
namespace {

std::string metricName(std::string_view name) {
  return "shedshed_" + std::string(name);
}

/// Upper bounds of the latency buckets, in seconds; denser around the latency targets of 50 ms
/// between tokens and 1.1 s to the first token.
prometheus::Histogram::BucketBoundaries latencyBuckets() {
  return {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.8, 1.1, 1.5, 2.5, 5, 10, 30};
}

}  // namespace

Metrics::Metrics() = default;

void Metrics::add(std::string_view name, double amount) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto found = counters_.find(name);
  if (found == counters_.end()) {
    auto& family = prometheus::BuildCounter().Name(metricName(name)).Register(registry_);
    found = counters_.emplace(std::string(name), &family.Add({})).first;
  }
  found->second->Increment(amount);
}

void Metrics::set(std::string_view name, double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto found = gauges_.find(name);
  if (found == gauges_.end()) {
    auto& family = prometheus::BuildGauge().Name(metricName(name)).Register(registry_);
    found = gauges_.emplace(std::string(name), &family.Add({})).first;
  }
  found->second->Set(value);
}

void Metrics::observe(std::string_view name, double seconds) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto found = histograms_.find(name);
  if (found == histograms_.end()) {
    auto& family = prometheus::BuildHistogram().Name(metricName(name)).Register(registry_);
    found = histograms_.emplace(std::string(name), &family.Add({}, latencyBuckets())).first;
  }
  found->second->Observe(seconds);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace shedshed

#include "standins/load_histogram.h"

#include <algorithm>
#include <cmath>

namespace shedshed::standin {
namespace {

constexpr std::uint64_t kHalfSubBuckets = LatencyHistogram::kSubBuckets / 2;

/// Returns the smallest right shift that brings @p value below `kSubBuckets`.
unsigned shiftOf(std::uint64_t value) {
  unsigned shift = 0;
  while ((value >> shift) >= LatencyHistogram::kSubBuckets) {
    ++shift;
  }
  return shift;
}

}  // namespace

LatencyHistogram::LatencyHistogram() : buckets_(bucketOf(kMaximum) + 1, 0) {}

std::size_t LatencyHistogram::bucketOf(std::uint64_t value) {
  const unsigned shift = shiftOf(value);
  return static_cast<std::size_t>(shift * kHalfSubBuckets + (value >> shift));
}

std::uint64_t LatencyHistogram::upperBoundOf(std::size_t bucket) {
  if (bucket < kSubBuckets) {
    return bucket;
  }
  const std::size_t shift = bucket / kHalfSubBuckets - 1;
  const std::uint64_t position = bucket - shift * kHalfSubBuckets;
  return ((position + 1) << shift) - 1;
}

void LatencyHistogram::record(std::uint64_t microseconds) {
  const std::uint64_t value = std::min(microseconds, kMaximum);
  ++buckets_[bucketOf(value)];
  minimum_ = count_ == 0 ? value : std::min(minimum_, value);
  maximum_ = std::max(maximum_, value);
  total_ += static_cast<double>(value);
  ++count_;
}

double LatencyHistogram::mean() const {
  return count_ == 0 ? 0 : total_ / static_cast<double>(count_);
}

std::uint64_t LatencyHistogram::valueAt(double quantile) const {
  const double requestedRank =
      std::ceil(std::clamp(quantile, 0.0, 1.0) * static_cast<double>(count_));
  const std::uint64_t rank = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(requestedRank));
  std::uint64_t cumulativeCount = 0;
  for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
    cumulativeCount += buckets_[bucket];
    if (cumulativeCount >= rank) {
      return std::min(upperBoundOf(bucket), maximum_);
    }
  }
  return maximum_;
}

}  // namespace shedshed::standin

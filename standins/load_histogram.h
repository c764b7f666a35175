/// @file
/// Latency histogram with bounded relative error, in the log-linear bucket layout of
/// HdrHistogram. No I/O.
#pragma once

#include <cstdint>
#include <vector>

namespace shedshed::standin {

/// Counts durations in microseconds. Each power of two is split into `kSubBuckets / 2` equal
/// buckets, so a reported value is at most 1/64 above the recorded one; values below `kSubBuckets`
/// are exact.
class LatencyHistogram {
 public:
  /// Number of buckets in the first range, which is exact.
  static constexpr std::uint64_t kSubBuckets = 128;
  /// Larger values are clamped to this one (one hour, in microseconds).
  static constexpr std::uint64_t kMaximum = 3600ULL * 1000 * 1000;

  LatencyHistogram();

  void record(std::uint64_t microseconds);

  std::uint64_t count() const { return count_; }
  /// Exact smallest and largest recorded value; 0 if the histogram is empty.
  std::uint64_t minimum() const { return count_ == 0 ? 0 : minimum_; }
  std::uint64_t maximum() const { return maximum_; }
  /// Exact mean; 0 if the histogram is empty.
  double mean() const;

  /// Returns the upper bound of the bucket that holds the value at @p quantile (0 to 1), but at
  /// most the largest recorded value; 0 if the histogram is empty.
  std::uint64_t valueAt(double quantile) const;

 private:
  static std::size_t bucketOf(std::uint64_t value);
  static std::uint64_t upperBoundOf(std::size_t bucket);

  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  std::uint64_t minimum_ = 0;
  std::uint64_t maximum_ = 0;
  double total_ = 0;
};

}  // namespace shedshed::standin

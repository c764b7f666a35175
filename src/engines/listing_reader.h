/// @file
/// Reads the listing of engines from the platform and keeps the last one.
#pragma once

#include "engines/engine_table.h"
#include "engines/listing_source.h"
#include "kernel/core.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace shedshed {

/// Returns a digest of @p engines; never 0, which stands for "no listing" on the wire.
std::uint64_t listingDigest(const std::vector<EngineInfo>& engines);

/// Runs one read of the source at a time. A failed read leaves the cached listing as it is. Core
/// thread only.
class ListingReader {
 public:
  /// @p source is null on nodes that never read it. Both must outlive this object.
  ListingReader(CoreContext& context, ListingSource* source) : context_(context), source_(source) {}

  bool hasSource() const { return source_ != nullptr; }
  bool reading() const { return reading_; }

  /// Starts a read; @p done is called when it has ended, also if it has failed. Does nothing while
  /// another one is in progress.
  void read(std::function<void()> done);

  /// Start of the read that returned the cached listing; `Time::min()` if there is none.
  Time cachedAt() const { return cachedAt_; }
  /// The cached listing, sorted by id, and its digest.
  const std::vector<EngineInfo>& cached() const { return cached_; }
  std::uint64_t cachedDigest() const { return cachedDigest_; }

 private:
  void onRead(Time startedAt, Result<std::vector<EngineInfo>> engines);

  CoreContext& context_;
  ListingSource* source_;
  bool reading_ = false;
  Time cachedAt_ = Time::min();
  std::uint64_t cachedDigest_ = 0;
  std::vector<EngineInfo> cached_;
};

}  // namespace shedshed

#include "sim/sim_disk.h"

namespace shedshed::sim {
namespace {

/// Small segments, so that a run reuses each of them many times.
LogStoreOptions smallStoreOptions() {
  LogStoreOptions options;
  options.segmentBytes = 256U << 10U;
  options.segmentCount = 8;
  return options;
}

}  // namespace

Status SimDisk::open(RandomEngine& random) {
  Result<std::unique_ptr<LogStructuredStore>> opened =
      LogStructuredStore::open(files_, "disk", smallStoreOptions(), random);
  if (!opened) {
    return opened.error();
  }
  store_ = std::move(opened.value());
  return okStatus();
}

void SimDisk::crash(RandomEngine& random) {
  store_.reset();
  files_.crash(random);
  currentSyncEnd_ = Time{};
  nextSyncEnd_ = Time{};
}

Time SimDisk::syncedAt(Time now, Duration delay) {
  if (now >= currentSyncEnd_ && nextSyncEnd_ > now) {
    currentSyncEnd_ = nextSyncEnd_;
  }
  if (now >= currentSyncEnd_) {
    currentSyncEnd_ = now + delay;
    return currentSyncEnd_;
  }
  if (nextSyncEnd_ <= currentSyncEnd_) {
    nextSyncEnd_ = currentSyncEnd_ + delay;
  }
  return nextSyncEnd_;
}

}  // namespace shedshed::sim

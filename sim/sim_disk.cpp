#include "sim/sim_disk.h"

namespace shedshed::sim {
namespace {

/// Small files, so that a run wraps the ring many times.
LogStoreOptions smallRing() {
  LogStoreOptions knobs;
  knobs.segmentBytes = 256U << 10U;
  knobs.segmentCount = 8;
  return knobs;
}

}  // namespace

Status SimDisk::open(RandomEngine& random) {
  Result<std::unique_ptr<LogStructuredStore>> opened =
      LogStructuredStore::open(files_, "disk", smallRing(), random);
  if (!opened) {
    return opened.error();
  }
  ring_ = std::move(opened.value());
  return okStatus();
}

void SimDisk::crash(RandomEngine& random) {
  ring_.reset();
  files_.crash(random);
  runningUntil_ = Time{};
  nextUntil_ = Time{};
}

Time SimDisk::syncedAt(Time now, Duration delay) {
  if (now >= runningUntil_ && nextUntil_ > now) {
    runningUntil_ = nextUntil_;
  }
  if (now >= runningUntil_) {
    runningUntil_ = now + delay;
    return runningUntil_;
  }
  if (nextUntil_ <= runningUntil_) {
    nextUntil_ = runningUntil_ + delay;
  }
  return nextUntil_;
}

}  // namespace shedshed::sim

#include "process/heap_bounds.h"

#include <malloc.h>

namespace shedshed {
namespace {

constexpr int kMaxArenas = 1;
/// Larger blocks, such as the bodies of large calls, are mapped alone and returned when freed. Set
/// so that the C library does not raise the bound by itself.
constexpr int kMmapThresholdBytes = 128 * 1024;
/// Free memory at the end of the heap that is kept.
constexpr int kTrimThresholdBytes = 256 * 1024;

}  // namespace

void boundHeap() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace shedshed

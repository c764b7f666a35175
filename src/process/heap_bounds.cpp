#include "process/heap_bounds.h"

#include <malloc.h>

namespace shedshed {
namespace {

constexpr int kMaxArenas = 1;
/// Larger blocks, such as large request bodies, are mapped separately and unmapped when freed. An
/// explicit value also stops the C library from raising the threshold dynamically.
constexpr int kMmapThresholdBytes = 128 * 1024;
/// Free memory that is kept at the top of the heap.
constexpr int kTrimThresholdBytes = 256 * 1024;

}  // namespace

void boundHeap() {
  mallopt(M_ARENA_MAX, kMaxArenas);
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
}

}  // namespace shedshed

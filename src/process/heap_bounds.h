/// @file
/// Limits of the C library's heap.
#pragma once

namespace shedshed {

/// Makes the heap return memory to the system after a traffic peak and use one arena for all
/// threads: the processes run one busy thread, so several arenas only fragment freed memory. Call
/// once, before any other thread starts. Values that the C library rejects keep their defaults.
void boundHeap();

}  // namespace shedshed

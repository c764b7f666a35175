/// @file
/// Bounds on what callers may send and on how long they may take.
#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <cstdint>

namespace shedshed {

/// Bounds of the callers' HTTP.
struct CallerLimits {
  std::size_t maxConnections = 10000;
  std::uint32_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBatchBodyBytes = 256U << 20U;  ///< All items of a batch together.
  std::size_t maxBatchUploads = 4;  ///< Batches read at once; bounds the memory they take.
  Duration idleTimeout = std::chrono::seconds(75);  ///< Between two calls.
  Duration headerTimeout =
      std::chrono::seconds(10);                     ///< From the first byte of a header to its end.
  Duration bodyTimeout = std::chrono::seconds(30);  ///< For a body, besides its transfer time.
  std::uint64_t minBodyBytesPerSecond = 256U << 10U;  ///< Slowest transfer that is waited for.
  Duration writeTimeout = std::chrono::seconds(30);   ///< For one write to the caller.
  Duration lingerTimeout = std::chrono::seconds(1);   ///< To drop an unread body before a close.
};

/// Largest body of a refused call that is read so that the connection can stay open, in bytes.
inline constexpr std::uint64_t kMaxDiscardedBodyBytes = 64U << 10U;

}  // namespace shedshed

/// @file
/// Size limits and time-outs of caller connections.
#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <cstdint>

namespace shedshed {

/// Limits of the callers' HTTP server.
struct CallerLimits {
  std::size_t maxConnections = 10000;
  std::uint32_t maxHeaderBytes = 16U << 10U;
  std::uint64_t maxBatchBodyBytes = 256U << 20U;  ///< Total size of all items of a batch.
  std::size_t maxBatchUploads = 4;                ///< Concurrent uploads; bounds their memory use.
  Duration idleTimeout = std::chrono::seconds(75);  ///< Between two calls on a connection.
  Duration headerTimeout =
      std::chrono::seconds(10);  ///< From the first to the last byte of a header.
  Duration bodyTimeout =
      std::chrono::seconds(30);  ///< For a body, in addition to its transfer time.
  std::uint64_t minBodyBytesPerSecond = 256U << 10U;  ///< Rate on which the transfer time is based.
  Duration writeTimeout = std::chrono::seconds(30);   ///< For one write to the caller.
  Duration lingerTimeout = std::chrono::seconds(1);   ///< To discard unread input before a close.
};

/// Largest body of a rejected call that is read to keep the connection open, in bytes.
inline constexpr std::uint64_t kMaxDiscardedBodyBytes = 64U << 10U;

}  // namespace shedshed

/// @file
/// Pool of idle connections to engines.
#pragma once

#include "kernel/time.h"
#include "serving/engine_connection.h"
#include "serving/idle_connections.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace shedshed {

/// Most idle connections kept per engine.
inline constexpr std::size_t kMaxIdlePerEngine = 32;

/// Longest time that an idle connection is kept. Short, so that the engine rarely closes a
/// connection while it is being reused: a request sent on a closing connection has an unknown
/// outcome.
inline constexpr Duration kMaxIdleTime = std::chrono::seconds(4);

/// Keeps connections between exchanges. Thread-safe.
class EngineConnectionPool {
 public:
  /// Returns a reusable connection to @p address that may carry a request with the id
  /// @p requestId, or null.
  std::unique_ptr<EngineConnection> acquire(const std::string& address,
                                            const std::string& requestId, Time now);

  /// Keeps @p connection if it may be reused; closes it otherwise.
  void release(const std::string& address, std::unique_ptr<EngineConnection> connection, Time now);

 private:
  std::mutex mutex_;
  std::map<std::string, IdleConnections<EngineConnection>> idle_;
};

}  // namespace shedshed

/// @file
/// Pool of idle connections from this node to engines.
#pragma once

#include "gateway/upstream_connection.h"
#include "serving/idle_connections.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shedshed {

/// Idle connections, by engine id. Core thread only.
class UpstreamConnectionPool {
 public:
  /// Returns the most recently used connection that may carry a call with the id @p requestId, or
  /// null.
  std::unique_ptr<UpstreamConnection> acquire(const std::string& engine,
                                              const std::string& requestId, Time now);

  /// Retains @p connection if it may be reused, else closes it.
  void release(const std::string& engine, std::unique_ptr<UpstreamConnection> connection, Time now);

  /// Closes the connections of engines that are not in @p engines, which is sorted.
  void keepOnly(const std::vector<std::string>& engines);

 private:
  std::map<std::string, IdleConnections<UpstreamConnection>> idle_;
};

}  // namespace shedshed

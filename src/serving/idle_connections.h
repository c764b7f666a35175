/// @file
/// The idle connections to one engine.
#pragma once

#include "kernel/time.h"

#include <memory>
#include <string_view>
#include <vector>

namespace shedshed {

/// Idle connections, the most recently used last. Not thread-safe. @p Connection has `reusable()`
/// and `history()`.
template <class Connection>
class IdleConnections {
 public:
  /// Removes and returns the most recently used connection that is open and may carry a request
  /// with the id @p requestId; null if there is none. Closes connections that have expired.
  std::unique_ptr<Connection> take(std::string_view requestId, Time now) {
    for (std::size_t index = connections_.size(); index-- > 0;) {
      Idle& idle = connections_[index];
      const bool usable = now < idle.expiresAt && idle.connection->reusable();
      if (usable && idle.connection->history().hasCarried(requestId)) {
        continue;
      }
      std::unique_ptr<Connection> connection = std::move(idle.connection);
      connections_.erase(connections_.begin() + static_cast<std::ptrdiff_t>(index));
      if (usable) {
        return connection;
      }
    }
    return nullptr;
  }

  /// Keeps @p connection until @p expiresAt; closes it if it can't be reused or there are
  /// @p maxConnections already.
  void add(std::unique_ptr<Connection> connection, Time expiresAt, std::size_t maxConnections) {
    if (connections_.size() < maxConnections && connection->reusable()) {
      connections_.push_back({std::move(connection), expiresAt});
    }
  }

  bool empty() const { return connections_.empty(); }

 private:
  struct Idle {
    std::unique_ptr<Connection> connection;
    Time expiresAt;
  };
  std::vector<Idle> connections_;
};

}  // namespace shedshed

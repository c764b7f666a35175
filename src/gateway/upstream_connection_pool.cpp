#include "gateway/upstream_connection_pool.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Connections expire this long before the engine would close them, to avoid sending a call on a
/// connection that is being closed.
constexpr Duration kKeepAliveMargin = std::chrono::milliseconds(700);
/// Maximum number of idle connections per engine.
constexpr std::size_t kMaxIdleConnections = 16;

}  // namespace

std::unique_ptr<UpstreamConnection>
UpstreamConnectionPool::acquire(const std::string& engine, const std::string& requestId, Time now) {
  const auto found = idle_.find(engine);
  return found == idle_.end() ? nullptr : found->second.take(requestId, now);
}

void UpstreamConnectionPool::release(const std::string& engine,
                                     std::unique_ptr<UpstreamConnection> connection, Time now) {
  const Time expiresAt = now + connection->keepAlive() - kKeepAliveMargin;
  if (expiresAt > now) {
    idle_[engine].add(std::move(connection), expiresAt, kMaxIdleConnections);
  }
}

void UpstreamConnectionPool::keepOnly(const std::vector<std::string>& engines) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    const bool listed = std::binary_search(engines.begin(), engines.end(), entry->first);
    entry = listed ? std::next(entry) : idle_.erase(entry);
  }
}

}  // namespace shedshed

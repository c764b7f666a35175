#include "serving/engine_connection_pool.h"

namespace shedshed {

std::unique_ptr<EngineConnection> EngineConnectionPool::acquire(const std::string& address,
                                                                Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::unique_ptr<EngineConnection> connection;
  std::vector<Idle>& connections = found->second;
  while (connection == nullptr && !connections.empty()) {
    Idle newest = std::move(connections.back());
    connections.pop_back();
    if (now - newest.idleSince <= kMaxIdleTime && newest.connection->reusable()) {
      connection = std::move(newest.connection);
    }
  }
  if (connections.empty()) {
    idle_.erase(found);
  }
  return connection;
}

void EngineConnectionPool::release(const std::string& address,
                                   std::unique_ptr<EngineConnection> connection, Time now) {
  if (!connection->reusable()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<Idle>& connections = idle_[address];
  if (connections.size() < kMaxIdlePerEngine) {
    connections.push_back({std::move(connection), now});
  }
}

}  // namespace shedshed

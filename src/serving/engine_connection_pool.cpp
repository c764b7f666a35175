#include "serving/engine_connection_pool.h"

namespace shedshed {

std::unique_ptr<EngineConnection>
EngineConnectionPool::acquire(const std::string& address, const std::string& requestId, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::unique_ptr<EngineConnection> connection = found->second.take(requestId, now);
  if (found->second.empty()) {
    idle_.erase(found);
  }
  return connection;
}

void EngineConnectionPool::release(const std::string& address,
                                   std::unique_ptr<EngineConnection> connection, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  idle_[address].add(std::move(connection), now + kMaxIdleTime, kMaxIdlePerEngine);
}

}  // namespace shedshed

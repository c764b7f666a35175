#include "process/event_loop_node.h"

#include <limits>

namespace shedshed {
namespace {

/// The engines of such a fleet are close: a caller's batch call is answered or refused soon.
constexpr Duration kBatchCallDeadline = std::chrono::milliseconds(1800);
constexpr Duration kItemRetryPause = std::chrono::milliseconds(300);
constexpr std::uint32_t kItemsInAll = 96;

NodeId withPort(const NodeId& seed, std::uint16_t port) {
  const std::string host = seed.address.substr(0, seed.address.rfind(':'));
  return NodeId{host + ":" + std::to_string(port)};
}

}  // namespace

NodeOptions eventLoopOptions(const ProcessSettings& settings, const std::string& storeId) {
  NodeOptions options;
  options.self = describeSelf(settings, storeId);
  for (const NodeId& seed : settings.seeds) {
    options.seeds.push_back(settings.seedPort == 0 ? seed : withPort(seed, settings.seedPort));
  }
  options.quotaWindow = settings.quotaWindow;
  options.batches.requestDeadline = kBatchCallDeadline;
  options.batches.retryPause = kItemRetryPause;
  options.batches.itemsInAll = kItemsInAll;
  options.batches.mostRuns = std::numeric_limits<std::uint32_t>::max();
  return options;
}

}  // namespace shedshed

#include "process/event_loop_node.h"

#include "process/signals.h"
#include "runtime/logging.h"

#include <limits>

namespace shedshed {
namespace {

/// Engines are close in the network: a client's batch request is answered or rejected quickly.
constexpr Duration kBatchCallDeadline = std::chrono::milliseconds(1800);
/// A store that fails must be replaced as the owner of its partitions within about a second.
constexpr Duration kPingInterval = std::chrono::milliseconds(350);
/// Batches are due within seconds, so lent capacity is returned within a few ticks.
constexpr double kEventLoopLendingGrowthPerTick = 0.1;
/// Capacity is reserved for the live requests that arrive within this time. Each engine frees a
/// slot at about this interval.
constexpr Duration kLendingReserveHorizon = std::chrono::milliseconds(40);
constexpr Duration kItemRetryDelay = std::chrono::milliseconds(300);
/// A batch of about 150 items, each taking up to a second, is due within a few seconds.
constexpr std::uint32_t kMaxItemsInFlightPerBatch = 64;
constexpr std::uint32_t kMaxItemsInFlight = 224;

NodeId withPort(const NodeId& seed, std::uint16_t port) {
  const std::string host = seed.address.substr(0, seed.address.rfind(':'));
  return NodeId{host + ":" + std::to_string(port)};
}

}  // namespace

int EventLoopNode::run(const std::function<Status()>& listen, const std::function<void()>& drain) {
  Status started = listen();
  if (started) {
    started = runtime.start();
  }
  if (!started) {
    logError("process", started.error());
    stop();
    return 1;
  }
  logInfo("process", "serving as " + self_.address);
  waitForStopSignal();
  logInfo("process", "draining");
  drain();
  stop();
  return 0;
}

bool EventLoopNode::pollUntil(Time deadline, std::chrono::milliseconds interval,
                              const std::function<bool()>& condition) {
  bool done = condition();
  while (!done && monotonicNow() < deadline) {
    waitForStopSignal(interval);
    done = condition();
  }
  return done;
}

void EventLoopNode::stop() {
  runtime.stop();
  loop.dropHandlers();
}

NodeOptions eventLoopOptions(const ProcessSettings& settings, const std::string& storeId) {
  NodeOptions options;
  options.self = describeSelf(settings, storeId);
  for (const NodeId& seed : settings.seeds) {
    options.seeds.push_back(settings.seedPort == 0 ? seed : withPort(seed, settings.seedPort));
  }
  options.directory.pingInterval = kPingInterval;
  options.lending.growthPerTick = kEventLoopLendingGrowthPerTick;
  options.lending.reserveHorizon = kLendingReserveHorizon;
  options.batches.requestDeadline = kBatchCallDeadline;
  options.batches.retryDelay = kItemRetryDelay;
  options.batches.maxItemsInFlightPerBatch = kMaxItemsInFlightPerBatch;
  options.batches.maxItemsInFlight = kMaxItemsInFlight;
  options.batches.maxEngineCallsPerItem = std::numeric_limits<std::uint32_t>::max();
  return options;
}

}  // namespace shedshed

#include "hollow_node.h"

#include "runtime/logging.h"

#include <algorithm>
#include <cstdlib>

namespace shedshed::bench {
namespace {

constexpr std::uint32_t kStubMaxRunning = 8;

NodeOptions optionsOf(NodeInfo self, std::vector<NodeId> seeds) {
  NodeOptions options;
  options.self = std::move(self);
  options.seeds = std::move(seeds);
  return options;
}

[[noreturn]] void failHollow(const Error& error) {
  logError("hollow", error);
  std::_Exit(1);
}

}  // namespace

void StubEngines::setDraining(const std::string& address, bool draining) {
  const std::lock_guard<std::mutex> lock(mutex_);
  draining_[address] = draining;
}

EngineHealth StubEngines::read(const std::string& address, RandomEngine& random) const {
  EngineHealth health;
  health.reachable = true;
  health.maxRunning = kStubMaxRunning;
  health.running = churn_ ? static_cast<std::uint32_t>(random() % kStubMaxRunning) : 0;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = draining_.find(address);
  health.draining = found != draining_.end() && found->second;
  return health;
}

void StubProbe::probe(const std::string& address, std::function<void(EngineHealth)> done) {
  const EngineHealth health = engines_.read(address, random_);
  runtime_.post([health, done = std::move(done)] { done(health); });
}

void StubRunner::run(EngineCall, std::function<void(Result<EngineAnswer>)> done) {
  done(EngineAnswer{200, "{}"});
}

void ReadableCounters::add(std::string_view name, double amount) {
  const std::lock_guard<std::mutex> lock(mutex_);
  values_[std::string(name)] += amount;
}

void ReadableCounters::set(std::string_view name, double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  values_[std::string(name)] = value;
}

double ReadableCounters::value(std::string_view name) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = values_.find(name);
  return found == values_.end() ? 0 : found->second;
}

void CountingTransport::send(const NodeId& to, const Message& message) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    Traffic& traffic = sent_[{static_cast<int>(message.service), static_cast<int>(message.kind)}];
    traffic.messages += 1;
    traffic.bytes += static_cast<double>(message.payload.size());
  }
  transport_.send(to, message);
}

std::map<std::string, Traffic> CountingTransport::sentByKind() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, Traffic> named;
  for (const auto& entry : sent_) {
    named[std::string(serviceName(static_cast<ServiceId>(entry.first.first))) + "/" +
          std::to_string(entry.first.second)] = entry.second;
  }
  return named;
}

HollowNode::HollowNode(NodeInfo self, std::vector<NodeId> seeds, const FleetKey& key,
                       const StubEngines& engines)
    : transport_(self.id, key, counters_), counting_(transport_),
      runtime_(self.id, counting_, nullptr, metrics_, &failHollow), probe_(runtime_, engines),
      cores_(runtime_, optionsOf(self, std::move(seeds)), &probe_) {
  cores_.addRunner(runtime_, engineRunner_);
  cores_.configuration.subscribe(kSettingsRegister,
                                 [this](const RegisterValue& value) { onSettings(value); });
  cores_.directory.addListener([this](const NodeTable& nodes) { onNodes(nodes); });
  cores_.engines().addListener([this](const EngineTable& table) { onEngines(table); });
}

void HollowNode::kill() {
  killed_ = true;
  runtime_.stop();
}

void HollowNode::drain() {
  runtime_.runAndWait([this] {
    cores_.directory.announceDraining(true);
    cores_.runner->drain();
  });
}

void HollowNode::trackNode(const NodeId& node) {
  runtime_.runAndWait([this, &node] {
    trackedNode_ = node;
    observed_.nodeState = NodeState::Dead;  // Unknown counts as dead until the table says more.
    onNodes(*cores_.directory.table());
  });
}

void HollowNode::trackEngine(const std::string& engine) {
  runtime_.runAndWait([this, &engine] {
    trackedEngine_ = engine;
    observed_.engineState = EngineState::Unknown;
    onEngines(*cores_.engines().table());
  });
}

Observed HollowNode::observed() {
  Observed result;
  runtime_.runAndWait([this, &result] {
    result = observed_;
    result.knownNodes = cores_.directory.table()->nodes.size();
    const auto table = cores_.engines().table();
    result.readyEngines = static_cast<std::size_t>(
        std::count_if(table->engines.begin(), table->engines.end(),
                      [](const EngineInfo& info) { return info.state == EngineState::Ready; }));
    result.fresh = cores_.configuration.freshUntil() > monotonicNow();
  });
  return result;
}

void HollowNode::onSettings(const RegisterValue& value) {
  Result<SettingsTree> tree = SettingsTree::parse(value.value);
  if (!tree) {
    return;
  }
  settings_ = std::move(tree).value();
  observed_.settingsVersion = value.version;
  observed_.settingsAt = monotonicNow();
}

void HollowNode::onNodes(const NodeTable& nodes) {
  const NodeInfo* info = nodes.find(trackedNode_);
  const NodeState state = info == nullptr ? NodeState::Dead : info->state;
  if (state != observed_.nodeState) {
    observed_.nodeState = state;
    observed_.nodeStateAt = monotonicNow();
  }
}

void HollowNode::onEngines(const EngineTable& table) {
  const auto found =
      std::lower_bound(table.engines.begin(), table.engines.end(), trackedEngine_,
                       [](const EngineInfo& info, const std::string& id) { return info.id < id; });
  const bool listed = found != table.engines.end() && found->id == trackedEngine_;
  const EngineState state = listed ? found->state : EngineState::Unknown;
  if (state != observed_.engineState) {
    observed_.engineState = state;
    observed_.engineStateAt = monotonicNow();
  }
}

}  // namespace shedshed::bench

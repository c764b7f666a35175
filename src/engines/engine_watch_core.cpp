#include "engines/engine_watch_core.h"

#include "kernel/message.h"
#include "kernel/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace shedshed {

namespace {

constexpr TimerId kProbeTimer = 1;
constexpr TimerId kReportTimer = 2;
constexpr TimerId kRebuildTimer = 3;
constexpr TimerId kDoubtTimer = 4;
/// A probe interval that lasts this many times as long means that this node itself stood still.
constexpr int kStandstillIntervals = 2;

bool sameEngines(const EngineTable& left, const EngineTable& right) {
  const auto same = [](const EngineInfo& a, const EngineInfo& b) {
    return a.id == b.id && a.address == b.address && a.model == b.model &&
           a.maxRunning == b.maxRunning && a.running == b.running && a.state == b.state;
  };
  return std::equal(left.engines.begin(), left.engines.end(), right.engines.begin(),
                    right.engines.end(), same);
}

/// Returns how many of @p candidates come before @p self in the rendezvous order of the engine;
/// stops counting at @p atMost.
std::size_t watcherPlace(const std::string& engineId, const NodeId& self,
                         const std::vector<NodeId>& candidates, std::size_t atMost) {
  const std::string key = "engine/" + engineId;
  const std::uint64_t ownWeight = rendezvousWeight(key, self.address);
  std::size_t before = 0;
  for (const NodeId& candidate : candidates) {
    const std::uint64_t weight = rendezvousWeight(key, candidate.address);
    if (weight > ownWeight || (weight == ownWeight && candidate < self)) {
      ++before;
    }
    if (before >= atMost) {
      break;
    }
  }
  return before;
}

}  // namespace

EngineWatchCore::EngineWatchCore(CoreContext& context, Directory& directory, GossipTopics& gossip,
                                 ConfigurationSource& configuration, EngineProbe* probe,
                                 EngineWatchOptions options)
    : context_(context), directory_(directory), gossip_(gossip), configuration_(configuration),
      probe_(probe), options_(options), table_(std::make_shared<const EngineTable>()) {}

void EngineWatchCore::start() {
  directory_.addListener([this](const NodeTable& nodes) { updateDead(nodes); });
  gossip_.subscribe(kEngineTopic, [this](const NodeId& origin, const GossipVersion&,
                                         const std::string& bytes) { setReport(origin, bytes); });
  configuration_.subscribe(kEnginesRegister,
                           [this](const RegisterValue& value) { setListing(value); });
  // Random start: the watchers of an engine probe it at different moments.
  const auto interval = static_cast<std::uint64_t>(options_.probeInterval.count());
  context_.startTimer(kProbeTimer, Duration(1 + context_.random()() % interval));
  if (probe_ != nullptr) {
    context_.startTimer(kDoubtTimer, options_.doubtInterval);
  }
}

void EngineWatchCore::receive(const NodeId& from, const Message& message) {
  (void)from;
  (void)message;
}

void EngineWatchCore::timerExpired(TimerId timer) {
  if (timer == kReportTimer) {
    reportScheduled_ = false;
    publishReport();
    return;
  }
  if (timer == kRebuildTimer) {
    rebuildTable();
    return;
  }
  if (timer == kDoubtTimer) {
    context_.startTimer(kDoubtTimer, options_.doubtInterval);
    noticeStandstill();
    noticeDoubt();
    extendFreshness();
    return;
  }
  if (timer != kProbeTimer) {
    return;
  }
  context_.startTimer(kProbeTimer, options_.probeInterval);
  updateDead(*directory_.table());
  if (reports_.expire(context_.now(), options_.deadExpiry)) {
    tableDirty();
  }
  if (probe_ == nullptr) {
    return;
  }
  updateDuties();
  findUnreachable();
  if (runningIsDue()) {
    publishReport();
  }
  probeAll();
}

/// Until the engines were asked anew nothing that this node knows of them counts.
void EngineWatchCore::noticeStandstill() {
  const Time now = context_.now();
  const bool stoodStill =
      lastTick_ < now && now - lastTick_ > kStandstillIntervals * options_.probeInterval;
  lastTick_ = now;
  if (stoodStill) {
    context_.counters().add("engine_watch_standstills_total");
    unprovedUntil_ = now + options_.answersWithin;
    verify();
  }
}

void EngineWatchCore::noticeDoubt() {
  if (directory_.hasUnresponsivePeers()) {
    verify();
  }
}

void EngineWatchCore::verify() {
  const bool begins = !verifies() || unprovedUntil_ > context_.now();
  verifyUntil_ = context_.now() + options_.verification;
  if (begins) {
    context_.counters().add("engine_verifications_total");
    updateDuties();
    probeAll();
  }
}

bool EngineWatchCore::verifies() const {
  return context_.now() < verifyUntil_;
}

void EngineWatchCore::extendFreshness() {
  const Time now = context_.now();
  if (now >= unprovedUntil_) {
    const Time until = now + kStandstillIntervals * options_.probeInterval;
    freshUntil_.store(until.time_since_epoch().count());
  }
}

void EngineWatchCore::addListener(std::function<void(const EngineTable&)> listener) {
  listeners_.push_back(std::move(listener));
}

void EngineWatchCore::setListing(const RegisterValue& value) {
  if (value.version == 0) {
    return;
  }
  Result<EngineListing> listing = parseEngineListing(value.value);
  if (!listing) {
    // The operators' calls check before they propose; keep the last good listing.
    context_.counters().add("engine_listings_refused_total");
    return;
  }
  listing_ = std::move(listing).value();
  tableDirty();
}

void EngineWatchCore::setReport(const NodeId& origin, const std::string& bytes) {
  Result<EngineReport> report = decodeRecord<EngineReport>(bytes);
  reports_.set(origin, report ? std::move(report).value() : EngineReport());
  updateDead(*directory_.table());
  tableDirty();
}

void EngineWatchCore::updateDead(const NodeTable& nodes) {
  for (const NodeInfo& node : nodes.nodes) {
    if (reports_.setDead(node.id, node.state == NodeState::Dead, context_.now())) {
      tableDirty();
    }
  }
}

std::vector<NodeId> EngineWatchCore::eligibleWatchers() const {
  std::vector<NodeId> eligible;
  const auto nodes = directory_.table();
  for (const NodeInfo& node : nodes->nodes) {
    const bool stays = node.state == NodeState::Alive || node.state == NodeState::Suspect;
    if (node.role == NodeRole::Data && stays) {
      eligible.push_back(node.id);
    }
  }
  return eligible.empty() ? nodes->live(NodeRole::Data) : eligible;
}

void EngineWatchCore::updateDuties() {
  const Time now = context_.now();
  const std::vector<NodeId> eligible = eligibleWatchers();
  std::map<std::string, Watched> next;
  for (const ListedEngine& engine : listing_.engines) {
    const std::size_t place =
        watcherPlace(engine.id, context_.self(), eligible, options_.watchersPerEngine);
    const bool duty = place < options_.watchersPerEngine;
    const bool verified = !duty && verifies();
    const auto former = watched_.find(engine.id);
    const bool same = former != watched_.end() && former->second.address == engine.address;
    const bool handsOver = same && now - former->second.lastDuty < options_.handover;
    if (!duty && !handsOver && !verified) {
      continue;
    }
    Watched watched = same ? former->second : Watched();
    if (!same) {
      watched.address = engine.address;
      watched.lastContact = now;
    }
    watched.maxRunning = engine.maxRunning;
    watched.first = place == 0;
    watched.shared = duty || handsOver;
    watched.lastDuty = duty ? now : watched.lastDuty;
    next.emplace(engine.id, std::move(watched));
  }
  const bool shrunk = std::any_of(watched_.begin(), watched_.end(), [&](const auto& former) {
    return next.count(former.first) == 0;
  });
  watched_ = std::move(next);
  if (shrunk) {
    publishReport();
  }
}

void EngineWatchCore::probeAll() {
  const std::uint64_t number = ++probeNumber_;
  const std::weak_ptr<int> lifetime = lifetime_;
  std::vector<std::pair<std::string, std::string>> targets;
  for (const auto& watched : watched_) {
    targets.emplace_back(watched.first, watched.second.address);
  }
  for (const auto& [id, address] : targets) {
    probe_->probe(address,
                  [this, lifetime, id = id, address = address, number](const EngineHealth& health) {
                    if (lifetime.lock() != nullptr) {
                      answered(id, address, number, health);
                    }
                  });
  }
}

void EngineWatchCore::answered(const std::string& id, const std::string& address,
                               std::uint64_t number, const EngineHealth& health) {
  const auto found = watched_.find(id);
  if (found == watched_.end() || found->second.address != address) {
    return;
  }
  Watched& watched = found->second;
  // An answer that was overtaken by that of a later probe may tell an older state.
  if (!health.reachable || number <= watched.newestAnswer) {
    return;
  }
  watched.newestAnswer = number;
  watched.lastContact = context_.now();
  watched.running = health.running;
  const EngineState state = health.draining ? EngineState::Draining : EngineState::Ready;
  if (state != watched.state) {
    watched.state = state;
    reportSoon();
  }
}

void EngineWatchCore::reportSoon() {
  if (!reportScheduled_) {
    reportScheduled_ = true;
    context_.startTimer(kReportTimer, options_.reportDelay);
  }
}

void EngineWatchCore::findUnreachable() {
  bool changed = false;
  for (auto& entry : watched_) {
    Watched& watched = entry.second;
    const bool silent = context_.now() - watched.lastContact >= options_.goneAfter;
    if (silent && watched.state != EngineState::Gone) {
      watched.state = EngineState::Gone;
      watched.running = 0;
      changed = true;
    }
  }
  if (changed) {
    publishReport();
  }
}

bool EngineWatchCore::runningIsDue() const {
  const Duration floor = options_.runningStep * static_cast<std::int64_t>(listing_.engines.size());
  const Duration age = context_.now() - lastReport_;
  if (age < std::max(options_.minRunningAge, floor)) {
    return false;
  }
  const bool old = age >= std::max(options_.maxRunningAge, floor);
  return std::any_of(watched_.begin(), watched_.end(), [&](const auto& entry) {
    const Watched& watched = entry.second;
    const double moved = std::abs(static_cast<double>(watched.running) - watched.reportedRunning);
    const bool notable = moved > options_.runningChange * watched.maxRunning;
    return watched.first && moved > 0 && (old || notable);
  });
}

void EngineWatchCore::publishReport() {
  EngineReport shared;
  EngineReport own;
  for (auto& entry : watched_) {
    Watched& watched = entry.second;
    if (watched.state == EngineState::Unknown) {
      continue;
    }
    watched.reportedRunning = watched.running;
    EngineReport& report = watched.shared ? shared : own;
    report.findings.push_back(
        {entry.first, engineAddressTag(watched.address), watched.state, watched.running});
  }
  reports_.setOwn(std::move(own));
  tableDirty();
  publishShared(shared);
}

/// What is found only to verify others must not cost them a message.
void EngineWatchCore::publishShared(const EngineReport& shared) {
  lastReport_ = context_.now();
  std::string bytes = encodeRecord(shared);
  if (bytes == publishedReport_) {
    return;
  }
  publishedReport_ = std::move(bytes);
  gossip_.publish(kEngineTopic, publishedReport_);
}

void EngineWatchCore::tableDirty() {
  if (dirty_) {
    return;
  }
  dirty_ = true;
  const Duration sinceLast = context_.now() - lastRebuild_;
  if (sinceLast < options_.minRebuildAge) {
    context_.startTimer(kRebuildTimer, options_.minRebuildAge - sinceLast);
    return;
  }
  const std::weak_ptr<int> lifetime = lifetime_;
  context_.defer([this, lifetime] {
    if (lifetime.lock() != nullptr) {
      rebuildTable();
    }
  });
}

void EngineWatchCore::rebuildTable() {
  dirty_ = false;
  lastRebuild_ = context_.now();
  auto next = std::make_shared<EngineTable>(reports_.merge(listing_));
  if (sameEngines(*next, *table_.read())) {
    return;
  }
  table_.publish(next);
  for (const auto& listener : listeners_) {
    listener(*next);
  }
}

}  // namespace shedshed

#include "membership/directory_core.h"

#include "membership/random_selection.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace shedshed {

namespace {

constexpr TimerId kIntervalTimer = 1;
constexpr TimerId kForwardTimer = 2;

/// Maximum number of dead nodes that are pinged in one probe; bounds the traffic after the loss of
/// a zone.
constexpr std::size_t kMaxDeadNodesPerProbe = 4;

}  // namespace

DirectoryCore::DirectoryCore(CoreContext& context, NodeInfo self, std::vector<NodeId> seeds,
                             DirectoryOptions options)
    : context_(context), options_(options), local_(std::move(self), context.random()()),
      peers_(local_.id(), std::move(seeds), options.pushFanout),
      store_([this](const NodeId& origin, const GossipVersion& version, const std::string& topic,
                    const std::string& bytes) { onRecordChanged(origin, version, topic, bytes); }),
      exchange_(context, store_, options, *this, kForwardTimer), monitor_(options),
      publisher_(context, options) {
  publisher_.setOwnRecord(local_.info());
  store_.raiseIncarnation(local_.id(), local_.incarnation());
  store_.publish(local_.id(), kNodeTopic, encodedLocalNode());
  publisher_.refresh();
}

void DirectoryCore::start() {
  exchange_.pushOwnRecords(0, peers_.seeds());
  exchange_.requestComparison(peers_.seeds());
  const auto interval = static_cast<std::uint64_t>(options_.pingInterval.count());
  context_.startTimer(kIntervalTimer, Duration(1 + context_.random()() % interval));
}

void DirectoryCore::addListener(std::function<void(const NodeTable&)> listener) {
  publisher_.addListener(std::move(listener));
}

void DirectoryCore::announceDraining(bool draining) {
  if (!local_.setDraining(draining)) {
    return;
  }
  publisher_.setOwnRecord(local_.info());
  publish(kNodeTopic, encodedLocalNode());
  publisher_.refresh();
}

void DirectoryCore::publish(const std::string& topic, const std::string& bytes) {
  const std::uint32_t before = store_.version(local_.id()).sequence;
  store_.publish(local_.id(), topic, bytes);
  exchange_.pushOwnRecords(before, gossipPeers());
}

void DirectoryCore::subscribe(const std::string& topic, Listener listener) {
  store_.forEach(topic, listener);
  subscriptions_.add(topic, std::move(listener));
}

void DirectoryCore::receive(const NodeId& from, const Message& message) {
  if (from == local_.id()) {
    return;
  }
  exchange_.receive(from, message) ||
      dispatchMessage<Ping>(message, [&](const Ping& ping) { onPing(from, ping); }) ||
      dispatchMessage<Pong>(message, [&](const Pong& pong) { onPong(from, pong); });
  publisher_.refresh();
}

void DirectoryCore::timerExpired(TimerId timer) {
  if (timer == kIntervalTimer) {
    context_.startTimer(kIntervalTimer, options_.pingInterval);
    onInterval();
  } else if (timer == kForwardTimer) {
    exchange_.forwardPending();
  }
}

void DirectoryCore::onPing(const NodeId& from, const Ping& ping) {
  refuteDeath(ping.deadIncarnation);
  context_.send(from, Pong{ping.number, deadIncarnationOf(from)});
}

void DirectoryCore::onPong(const NodeId& from, const Pong& pong) {
  monitor_.onPong(from, pong.number);
  refuteDeath(pong.deadIncarnation);
  publishSuspicions();
}

void DirectoryCore::refuteDeath(std::uint64_t deadIncarnation) {
  if (deadIncarnation >= local_.incarnation()) {
    raiseIncarnationAbove(deadIncarnation);
  }
}

void DirectoryCore::onOwnVersionSeen(const GossipVersion& seen) {
  if (local_.isForeign(seen, store_.version(local_.id()))) {
    raiseIncarnationAbove(seen.incarnation);
  }
}

void DirectoryCore::raiseIncarnationAbove(std::uint64_t incarnation) {
  local_.raiseIncarnationAbove(incarnation);
  publisher_.setOwnRecord(local_.info());
  // A node that others confirmed dead, or that has just restarted, may have been isolated or
  // stalled, so its own suspicions are not reliable.
  monitor_.reset();
  store_.raiseIncarnation(local_.id(), local_.incarnation());
  store_.publish(local_.id(), kSuspicionTopic, encodeRecord(SuspicionList{}));
  store_.publish(local_.id(), kNodeTopic, encodedLocalNode());
  // After a network partition two nodes may each have confirmed the other dead.
  const std::vector<NodeId> dead = deadNodes();
  exchange_.pushOwnRecords(0, gossipPeers());
  exchange_.pushOwnRecords(0, dead);
  if (dead.empty() && gossipPeers().empty()) {
    exchange_.pushOwnRecords(0, peers_.seeds());
  }
  context_.logEvent(TraceEvent("IncarnationRaised").field("incarnation", local_.incarnation()));
}

void DirectoryCore::onRecordChanged(const NodeId& origin, const GossipVersion& version,
                                    const std::string& topic, const std::string& bytes) {
  if (topic == kNodeTopic && origin != local_.id()) {
    publisher_.setRecord(origin, bytes);
  }
  if (topic == kSuspicionTopic) {
    publisher_.setSuspicions(origin, bytes);
  }
  subscriptions_.notify(origin, version, topic, bytes);
}

void DirectoryCore::onInterval() {
  ++intervals_;
  pingMonitoredNodes();
  notifyDeadNodes();
  publishSuspicions();
  publisher_.refresh();
  startAntiEntropy();
  evictExpiredNodes();
  publisher_.refresh();
}

void DirectoryCore::pingMonitoredNodes() {
  for (const NodeId& target : monitor_.startInterval(context_.now(), local_.id(), table())) {
    context_.send(target, Ping{monitor_.pingNumber(), deadIncarnationOf(target)});
  }
}

void DirectoryCore::notifyDeadNodes() {
  if (intervals_ % options_.deadProbeIntervals != 0) {
    return;
  }
  // Tables may diverge: a node that missed the withdrawal of a suspicion may confirm a death that
  // no other node confirms. Only the affected node can refute it, with a higher incarnation.
  std::vector<NodeId> dead = deadNodes();
  shuffle(dead, context_.random());
  dead.resize(std::min(dead.size(), kMaxDeadNodesPerProbe));
  for (const NodeId& node : dead) {
    context_.send(node, Ping{monitor_.pingNumber(), deadIncarnationOf(node)});
  }
}

void DirectoryCore::publishSuspicions() {
  std::optional<std::vector<Suspicion>> changed = monitor_.takeChangedSuspicions(*table());
  if (changed) {
    publish(kSuspicionTopic, encodeRecord(SuspicionList{std::move(*changed)}));
  }
}

void DirectoryCore::startAntiEntropy() {
  const std::vector<NodeId>& live = gossipPeers();
  if (!live.empty()) {
    exchange_.requestComparison({live[context_.random()() % live.size()]});
  }
  if (!live.empty() && intervals_ % options_.deadProbeIntervals != 0) {
    return;
  }
  // Seeds and dead nodes are contacted too: through them a node joins the fleet, and rejoins it
  // after a network partition.
  std::vector<NodeId> others = deadNodes();
  others.insert(others.end(), peers_.seeds().begin(), peers_.seeds().end());
  shuffle(others, context_.random());
  others.resize(live.empty() ? others.size() : std::min<std::size_t>(others.size(), 1));
  exchange_.requestComparison(others);
}

void DirectoryCore::evictExpiredNodes() {
  for (const NodeId& node : publisher_.removeExpired()) {
    exchange_.evict(node);
  }
}

std::uint64_t DirectoryCore::deadIncarnationOf(const NodeId& node) const {
  const auto current = table();
  const NodeInfo* info = current->find(node);
  // A suspicion ends with the next acknowledged ping of its monitor and needs no refutation.
  const bool dead = info != nullptr && info->state == NodeState::Dead;
  return dead ? info->incarnation : 0;
}

std::string DirectoryCore::encodedLocalNode() const {
  return encodeRecord(local_.info());
}

}  // namespace shedshed

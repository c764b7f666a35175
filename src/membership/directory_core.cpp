#include "membership/directory_core.h"

#include "kernel/rendezvous.h"
#include "membership/incarnation.h"

#include <algorithm>

namespace shedshed {

namespace {

constexpr TimerId kTickTimer = 1;
constexpr TimerId kForwardTimer = 2;

/// Dead nodes that are told so at each probe; bounds the traffic after the loss of a zone.
constexpr std::size_t kDoubtsPerProbe = 4;

/// A dead node is no longer offered to others after this part of `forgetAfter`, so that nodes
/// which forgot it do not learn it again from those which have not yet.
constexpr int kOfferedPart = 4;

bool sameInfo(const NodeInfo& left, const NodeInfo& right) {
  return left.id == right.id && left.role == right.role && left.state == right.state &&
         left.zone == right.zone && left.incarnation == right.incarnation &&
         left.storeId == right.storeId && left.operatorsAddress == right.operatorsAddress &&
         left.callersAddress == right.callersAddress;
}

bool sameTable(const NodeTable& left, const NodeTable& right) {
  return std::equal(left.nodes.begin(), left.nodes.end(), right.nodes.begin(), right.nodes.end(),
                    sameInfo);
}

template <class T>
void shuffle(std::vector<T>& values, RandomEngine& random) {
  for (std::size_t i = values.size(); i > 1; --i) {
    std::swap(values[i - 1], values[random() % i]);
  }
}

}  // namespace

DirectoryCore::DirectoryCore(CoreContext& context, NodeInfo self, std::vector<NodeId> seeds,
                             DirectoryOptions options)
    : context_(context), options_(options), seeds_(std::move(seeds)), self_(std::move(self)),
      runTag_(context.random()() & kRunTagMask),
      store_([this](const NodeId& origin, const GossipVersion& version, const std::string& topic,
                    const std::string& bytes) { recordChanged(origin, version, topic, bytes); }),
      exchange_(
          context, store_, options, [this] { return hiddenOrigins(); },
          [this] { return gossipPeers(); },
          [this](const GossipVersion& seen) { checkOwnRecord(seen); }),
      monitor_(options), liveness_(options), table_(std::make_shared<const NodeTable>()) {
  exchange_.setForwardTimer(kForwardTimer);
  self_.state = NodeState::Alive;
  self_.incarnation = composeIncarnation(1, runTag_);
  seeds_.erase(std::remove(seeds_.begin(), seeds_.end(), self_.id), seeds_.end());
  nodes_[self_.id] = self_;
  dirty_ = true;
  store_.raiseIncarnation(self_.id, self_.incarnation);
  store_.publish(self_.id, kNodeTopic, ownNodeBytes());
  refreshTable();
}

void DirectoryCore::start() {
  exchange_.spreadOwn(0, seeds_);
  exchange_.compareWith(seeds_);
  const auto interval = static_cast<std::uint64_t>(options_.pingInterval.count());
  context_.startTimer(kTickTimer, Duration(1 + context_.random()() % interval));
}

void DirectoryCore::addListener(std::function<void(const NodeTable&)> listener) {
  listeners_.push_back(std::move(listener));
}

void DirectoryCore::announceDraining(bool draining) {
  const NodeState wanted = draining ? NodeState::Draining : NodeState::Alive;
  if (self_.state == wanted) {
    return;
  }
  self_.state = wanted;
  nodes_[self_.id] = self_;
  dirty_ = true;
  publish(kNodeTopic, ownNodeBytes());
  refreshTable();
}

void DirectoryCore::publish(const std::string& topic, const std::string& bytes) {
  const std::uint32_t before = store_.version(self_.id).sequence;
  store_.publish(self_.id, topic, bytes);
  exchange_.spreadOwn(before, gossipPeers());
}

void DirectoryCore::subscribe(const std::string& topic, Listener listener) {
  store_.forEach(topic, listener);
  subscribers_[topic].push_back(std::move(listener));
}

void DirectoryCore::receive(const NodeId& from, const Message& message) {
  if (from == self_.id) {
    return;
  }
  exchange_.receive(from, message) ||
      dispatchMessage<Ping>(message, [&](const Ping& ping) { onPing(from, ping); }) ||
      dispatchMessage<Pong>(message, [&](const Pong& pong) { onPong(from, pong); });
  refreshTable();
}

void DirectoryCore::timerExpired(TimerId timer) {
  if (timer == kTickTimer) {
    context_.startTimer(kTickTimer, options_.pingInterval);
    tick();
    refreshTable();
  } else if (timer == kForwardTimer) {
    exchange_.forwardPending();
  }
}

void DirectoryCore::onPing(const NodeId& from, const Ping& ping) {
  onDoubt(ping.doubtedIncarnation);
  context_.send(from, Pong{ping.number, doubtAbout(from)});
}

void DirectoryCore::onPong(const NodeId& from, const Pong& pong) {
  monitor_.answered(from, pong.number);
  onDoubt(pong.doubtedIncarnation);
  publishSuspicions();
}

void DirectoryCore::onDoubt(std::uint64_t doubtedIncarnation) {
  if (doubtedIncarnation >= self_.incarnation) {
    raiseAbove(doubtedIncarnation);
  }
}

void DirectoryCore::checkOwnRecord(const GossipVersion& seen) {
  const bool foreign = seen.incarnation > self_.incarnation || store_.version(self_.id) < seen;
  const bool sameCount =
      incarnationCount(seen.incarnation) == incarnationCount(self_.incarnation) &&
      seen.incarnation != self_.incarnation;
  if (foreign || sameCount) {
    raiseAbove(seen.incarnation);
  }
}

void DirectoryCore::raiseAbove(std::uint64_t incarnation) {
  self_.incarnation = composeIncarnation(incarnationCount(incarnation) + 1, runTag_);
  nodes_[self_.id] = self_;
  dirty_ = true;
  // Whoever is doubted, or has just restarted, has no findings of worth about others.
  monitor_.reset();
  publishedSuspicions_.clear();
  store_.raiseIncarnation(self_.id, self_.incarnation);
  store_.publish(self_.id, kSuspicionTopic, encodeRecord(SuspicionList{}));
  store_.publish(self_.id, kNodeTopic, ownNodeBytes());
  // A node that holds this one dead may be held dead here as well.
  const std::vector<NodeId> dead = peers(true);
  exchange_.spreadOwn(0, gossipPeers());
  exchange_.spreadOwn(0, dead);
  if (dead.empty() && gossipPeers().empty()) {
    exchange_.spreadOwn(0, seeds_);
  }
  context_.logEvent(TraceEvent("IncarnationRaised").field("incarnation", self_.incarnation));
}

void DirectoryCore::recordChanged(const NodeId& origin, const GossipVersion& version,
                                  const std::string& topic, const std::string& bytes) {
  if (topic == kNodeTopic && origin != self_.id) {
    setNode(origin, bytes);
  }
  if (topic == kSuspicionTopic) {
    const Result<SuspicionList> list = decodeRecord<SuspicionList>(bytes);
    dirty_ = true;
    liveness_.setSuspicions(origin, list ? list.value().suspicions : std::vector<Suspicion>());
  }
  const auto found = subscribers_.find(topic);
  if (found == subscribers_.end()) {
    return;
  }
  for (const Listener& listener : found->second) {
    listener(origin, version, bytes);
  }
}

void DirectoryCore::setNode(const NodeId& origin, const std::string& bytes) {
  Result<NodeInfo> info = decodeRecord<NodeInfo>(bytes);
  if (!info || info.value().id != origin) {
    return;
  }
  // Of itself a node says only whether it drains; the rest is for the watchers to judge.
  if (info.value().state != NodeState::Draining) {
    info.value().state = NodeState::Alive;
  }
  nodes_[origin] = std::move(info).value();
  dirty_ = true;
}

void DirectoryCore::tick() {
  ++ticks_;
  pingWatched();
  doubtTheDead();
  publishSuspicions();
  refreshTable();
  compareWithSomeone();
  forgetOldDead();
  refreshTable();
}

void DirectoryCore::pingWatched() {
  for (const NodeId& target : monitor_.tick(context_.now(), self_.id, table())) {
    context_.send(target, Ping{monitor_.pingNumber(), doubtAbout(target)});
  }
}

void DirectoryCore::doubtTheDead() {
  if (ticks_ % options_.deadProbeTicks != 0) {
    return;
  }
  // Verdicts may differ: a node that missed the withdrawal of a suspicion holds dead whom nobody
  // else does, and only the one that it holds dead can undo that, by a higher incarnation.
  std::vector<NodeId> dead = peers(true);
  shuffle(dead, context_.random());
  dead.resize(std::min(dead.size(), kDoubtsPerProbe));
  for (const NodeId& node : dead) {
    context_.send(node, Ping{monitor_.pingNumber(), doubtAbout(node)});
  }
}

void DirectoryCore::publishSuspicions() {
  std::vector<Suspicion> current = monitor_.suspicions(*table());
  if (current == publishedSuspicions_) {
    return;
  }
  publishedSuspicions_ = current;
  publish(kSuspicionTopic, encodeRecord(SuspicionList{std::move(current)}));
}

void DirectoryCore::compareWithSomeone() {
  const std::vector<NodeId>& live = gossipPeers();
  if (!live.empty()) {
    exchange_.compareWith({live[context_.random()() % live.size()]});
  }
  if (!live.empty() && ticks_ % options_.deadProbeTicks != 0) {
    return;
  }
  // Seeds and dead nodes: the way back after a cut, and into the fleet.
  std::vector<NodeId> others = peers(true);
  others.insert(others.end(), seeds_.begin(), seeds_.end());
  shuffle(others, context_.random());
  others.resize(live.empty() ? others.size() : std::min<std::size_t>(others.size(), 1));
  exchange_.compareWith(others);
}

void DirectoryCore::forgetOldDead() {
  const Time now = context_.now();
  for (auto node = nodes_.begin(); node != nodes_.end();) {
    const NodeId id = node->first;
    const Time* since = liveness_.deadSince(id);
    if (since == nullptr || now - *since < options_.forgetAfter) {
      ++node;
      continue;
    }
    exchange_.forget(id);
    liveness_.erase(id);
    node = nodes_.erase(node);
    dirty_ = true;
  }
}

void DirectoryCore::refreshTable() {
  if (!dirty_) {
    return;
  }
  dirty_ = false;
  auto next = std::make_shared<NodeTable>();
  for (const auto& node : nodes_) {
    next->nodes.push_back(node.second);
  }
  liveness_.judge(context_.now(), self_.id, next->nodes);
  if (sameTable(*next, *table_.read())) {
    return;
  }
  table_.publish(next);
  context_.counters().set("directory_nodes_known", static_cast<double>(next->nodes.size()));
  for (const auto& listener : listeners_) {
    listener(*next);
  }
}

std::set<NodeId> DirectoryCore::hiddenOrigins() const {
  return liveness_.deadBefore(context_.now() - options_.forgetAfter / kOfferedPart);
}

std::uint64_t DirectoryCore::doubtAbout(const NodeId& node) const {
  const auto current = table();
  const NodeInfo* info = current->find(node);
  // A mere suspicion ends with the watcher's next answered ping and needs no refutation.
  const bool dead = info != nullptr && info->state == NodeState::Dead;
  return dead ? info->incarnation : 0;
}

std::vector<NodeId> DirectoryCore::peers(bool dead) const {
  std::vector<NodeId> found;
  const auto current = table();
  for (const NodeInfo& node : current->nodes) {
    if (node.id != self_.id && (node.state == NodeState::Dead) == dead) {
      found.push_back(node.id);
    }
  }
  return found;
}

const std::vector<NodeId>& DirectoryCore::gossipPeers() {
  const std::shared_ptr<const NodeTable> current = table();
  if (gossipPeersOf_ == current) {
    return gossipPeers_;
  }
  gossipPeersOf_ = current;
  gossipPeers_ = peers(false);
  if (gossipPeers_.size() > options_.directTargets) {
    gossipPeers_ = rendezvousOrder(self_.id.address, std::move(gossipPeers_));
    gossipPeers_.resize(options_.directTargets);
  }
  return gossipPeers_;
}

std::string DirectoryCore::ownNodeBytes() const {
  return encodeRecord(self_);
}

}  // namespace shedshed

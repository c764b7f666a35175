#include "sim/world.h"

#include "kernel/rendezvous.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace shedshed::sim {
namespace {

constexpr std::size_t kTraceLines = 4000;
constexpr Duration kLocalDelay = std::chrono::microseconds(20);
constexpr Duration kMinSync = std::chrono::microseconds(300);
constexpr Duration kMaxSync = std::chrono::milliseconds(8);

std::string timeText(Time time) {
  const double seconds = std::chrono::duration<double>(time.time_since_epoch()).count();
  std::ostringstream text;
  text << std::fixed << std::setprecision(6) << seconds;
  return text.str();
}

}  // namespace

/// The context of one core of a simulated node.
class SimNode::Context : public CoreContext {
 public:
  Context(SimNode& node, ServiceId service) : node_(node), service_(service) {}

  Time now() const override { return node_.world_.now(); }
  RandomEngine& random() override { return node_.world_.random(); }
  const NodeId& self() const override { return node_.id_; }
  using CoreContext::send;
  void send(const NodeId& to, Message message) override {
    node_.world_.transmit(node_.id_, to, message);
  }
  void startTimer(TimerId timer, Duration after) override {
    const std::uint64_t generation = ++generations_[timer];
    node_.world_.schedule(
        after, [&node = node_, process = node_.process_, this, timer, generation] {
          node.runOrHold(process, [this, timer, generation] {
            const auto running = generations_.find(timer);
            if (running != generations_.end() && running->second == generation && core != nullptr) {
              core->timerExpired(timer);
            }
          });
        });
  }
  void stopTimer(TimerId timer) override { ++generations_[timer]; }
  void persist(PersistId id, std::vector<Mutation> mutations) override {
    for (const Mutation& mutation : mutations) {
      node_.world_.mixIntoBehaviour(node_.id_.address + ' ' + mutation.key + ' ' +
                                    mutation.value.value_or("erased"));
    }
    const Status appended = node_.disk_->append(mutations);
    const Duration delay = node_.world_.between(kMinSync, kMaxSync);
    const Time syncedAt = node_.disk_->syncedAt(now(), delay);
    node_.world_.schedule(syncedAt - now(),
                          [&node = node_, process = node_.process_, this, id, appended] {
                            node.runOrHold(process, [this, id, appended] {
                              const Status synced = appended ? node_.disk_->sync() : appended;
                              if (core != nullptr) {
                                core->persisted(id, synced);
                              }
                            });
                          });
  }
  const RecordReader& records() const override { return node_.disk_->records(); }
  Counters& counters() override { return node_.world_.counters(); }
  void logEvent(const TraceEvent& event) override {
    node_.world_.trace(node_.id_.address + " " + serviceName(service_) + ": " + event.text());
  }
  void defer(std::function<void()> task) override {
    node_.world_.schedule(Duration{0}, [&node = node_, process = node_.process_,
                                        task = std::move(task)] { node.runOrHold(process, task); });
  }

  Core* core = nullptr;

 private:
  SimNode& node_;
  const ServiceId service_;
  std::map<TimerId, std::uint64_t> generations_;
};

SimNode::SimNode(World& world, NodeId id, bool hasDisk, Builder builder)
    : world_(world), id_(std::move(id)), builder_(std::move(builder)),
      disk_(hasDisk ? std::make_unique<SimDisk>() : nullptr) {}

SimNode::~SimNode() = default;

CoreContext& SimNode::context(ServiceId service) {
  std::unique_ptr<Context>& context = contexts_[service];
  if (!context) {
    context = std::make_unique<Context>(*this, service);
  }
  return *context;
}

void SimNode::attach(ServiceId service, Core& core) {
  context(service);
  contexts_[service]->core = &core;
}

void SimNode::start() {
  if (up_) {
    return;
  }
  world_.trace(id_.address + " starts");
  ++process_;
  up_ = true;
  frozen_ = false;
  if (disk_) {
    const Status opened = disk_->open(world_.random());
    if (!opened) {
      world_.violation("the store opens at start", id_.address + ": " + opened.error().detail);
      up_ = false;
      return;
    }
  }
  cores_ = builder_(*this);
  for (const auto& entry : contexts_) {
    if (entry.second->core != nullptr) {
      entry.second->core->start();
    }
  }
}

void SimNode::kill() {
  if (!up_) {
    return;
  }
  world_.trace(id_.address + " killed");
  ++process_;
  up_ = false;
  frozen_ = false;
  held_.clear();
  cores_.reset();
  contexts_.clear();
  if (disk_) {
    disk_->crash(world_.random());
  }
}

void SimNode::freeze() {
  if (up_ && !frozen_) {
    world_.trace(id_.address + " freezes");
    frozen_ = true;
  }
}

void SimNode::unfreeze() {
  if (!frozen_) {
    return;
  }
  world_.trace(id_.address + " unfreezes");
  frozen_ = false;
  std::deque<std::pair<std::uint64_t, std::function<void()>>> held;
  held.swap(held_);
  for (auto& entry : held) {
    runOrHold(entry.first, std::move(entry.second));
  }
}

void SimNode::emptyDisk() {
  world_.trace(id_.address + " gets an empty disk");
  disk_ = std::make_unique<SimDisk>();
}

void SimNode::runOrHold(std::uint64_t process, std::function<void()> event) {
  if (process != process_ || !up_) {
    return;
  }
  if (frozen_) {
    held_.emplace_back(process, std::move(event));
    return;
  }
  event();
}

std::function<void()> SimNode::inThisProcess(std::function<void()> task) {
  return [this, process = process_, task = std::move(task)] { runOrHold(process, task); };
}

void SimNode::receive(const NodeId& from, const Message& message) {
  runOrHold(process_, [this, from, message] {
    const auto found = contexts_.find(message.service);
    if (found != contexts_.end() && found->second->core != nullptr) {
      found->second->core->receive(from, message);
    }
  });
}

World::World(std::uint64_t seed) : random_(seed) {}

double World::chance() {
  // Not std::uniform_real_distribution: its results differ between standard libraries.
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(random_() >> 11U) * kScale;
}

Duration World::between(Duration low, Duration high) {
  const double span = static_cast<double>((high - low).count());
  return low + Duration(static_cast<Duration::rep>(span * chance()));
}

std::size_t World::pick(std::size_t size) {
  return static_cast<std::size_t>(chance() * static_cast<double>(size));
}

SimNode& World::addNode(const NodeId& id, bool hasDisk, SimNode::Builder builder) {
  std::unique_ptr<SimNode>& node = nodes_[id];
  node = std::make_unique<SimNode>(*this, id, hasDisk, std::move(builder));
  return *node;
}

void World::schedule(Duration delay, std::function<void()> event) {
  events_.push(Event{now_ + std::max(delay, Duration{0}), nextOrder_++, std::move(event)});
}

void World::run(Duration duration) {
  const Time end = now_ + duration;
  while (!events_.empty() && events_.top().at <= end) {
    runNextEvent();
  }
  now_ = end;
}

bool World::runUntil(const std::function<bool()>& condition, Duration limit) {
  const Time end = now_ + limit;
  while (!condition()) {
    if (events_.empty() || events_.top().at > end) {
      now_ = end;
      return condition();
    }
    runNextEvent();
  }
  return true;
}

void World::runNextEvent() {
  // The queue's top is const; the action is moved out before the event is removed.
  Event event = std::move(const_cast<Event&>(events_.top()));
  events_.pop();
  now_ = std::max(now_, event.at);
  ++eventsRun_;
  event.action();
  for (const auto& check : checks_) {
    check();
  }
}

void World::violation(const std::string& invariant, const std::string& detail) {
  const std::string line = invariant + ": " + detail;
  trace("VIOLATION " + line);
  violations_.push_back(timeText(now_) + " " + line);
}

void World::trace(const std::string& line) {
  trace_.push_back(timeText(now_) + " " + line);
  traceHash_ = hash64(std::to_string(traceHash_) + trace_.back());
  if (trace_.size() > kTraceLines) {
    trace_.pop_front();
  }
}

void World::mixIntoHash(std::uint64_t value) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;  // FNV-1a
  traceHash_ = (traceHash_ ^ value) * kPrime;
}

void World::cut(const NodeId& left, const NodeId& right) {
  cuts_.emplace(std::min(left, right), std::max(left, right));
}

void World::heal(const NodeId& left, const NodeId& right) {
  cuts_.erase({std::min(left, right), std::max(left, right)});
}

void World::isolate(const std::set<NodeId>& group) {
  for (const NodeId& inside : group) {
    for (const auto& entry : nodes_) {
      if (group.count(entry.first) == 0) {
        cut(inside, entry.first);
      }
    }
  }
}

double World::counter(const std::string& name) const {
  const auto found = counters_.values.find(name);
  return found == counters_.values.end() ? 0 : found->second;
}

bool World::connected(const NodeId& left, const NodeId& right) const {
  return cuts_.count({std::min(left, right), std::max(left, right)}) == 0;
}

void World::mixIntoBehaviour(std::string_view bytes) {
  const std::uint64_t parts[] = {
      behaviourHash_, static_cast<std::uint64_t>(now_.time_since_epoch().count()), hash64(bytes)};
  behaviourHash_ = hash64({reinterpret_cast<const char*>(parts), sizeof(parts)});
}

void World::transmit(const NodeId& from, const NodeId& to, const Message& message) {
  mixIntoBehaviour(from.address + ' ' + to.address + ' ' +
                   std::to_string(static_cast<int>(message.service)) + ' ' +
                   std::to_string(message.kind) + ' ' + message.payload);
  if (from == to) {
    deliverAfter(kLocalDelay, from, to, message);
    return;
  }
  if (!connected(from, to) || chance() < network_.loss) {
    return;
  }
  Duration delay = between(network_.minDelay, network_.maxDelay);
  if (chance() < network_.lateness) {
    delay += between(Duration{0}, network_.maxLateness);
  }
  deliverAfter(delay, from, to, message);
  if (chance() < network_.duplication) {
    deliverAfter(between(network_.minDelay, network_.maxLateness), from, to, message);
  }
}

void World::deliverAfter(Duration delay, const NodeId& from, const NodeId& to,
                         const Message& message) {
  mixIntoHash(static_cast<std::uint64_t>(delay.count()) ^ (message.payload.size() << 40U));
  schedule(delay, [this, from, to, message] {
    const auto found = nodes_.find(to);
    if (found != nodes_.end() && found->second->up() && connected(from, to)) {
      found->second->receive(from, message);
    }
  });
}

}  // namespace shedshed::sim

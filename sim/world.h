/// @file
/// Deterministic simulation: a virtual clock, a faulty network and nodes with faulty disks.
///
/// A run is determined by one 64-bit seed: all delays and faults are drawn from one random engine,
/// and events with equal times run in the order in which they were scheduled.
#pragma once

#include "kernel/core_host.h"
#include "sim/sim_disk.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace shedshed::sim {

/// Faults and delays of the network.
struct NetworkOptions {
  Duration minDelay = std::chrono::microseconds(200);
  Duration maxDelay = std::chrono::milliseconds(3);
  double loss = 0;         ///< Probability that a message is lost.
  double duplication = 0;  ///< Probability that a message arrives twice.
  double lateness = 0;     ///< Probability that a message is late by up to `maxLateness`.
  Duration maxLateness = std::chrono::seconds(2);
};

class World;

/// One simulated node. Its cores live as long as the simulated process: a restart builds new ones
/// from the contents of the disk.
class SimNode : public CoreHost {
 public:
  /// Builds the node's cores. The returned object owns them.
  using Builder = std::function<std::shared_ptr<void>(SimNode&)>;

  SimNode(World& world, NodeId id, bool hasDisk, Builder builder);
  ~SimNode() override;

  CoreContext& context(ServiceId service) override;
  void attach(ServiceId service, Core& core) override;

  const NodeId& id() const { return id_; }
  World& world() { return world_; }
  bool up() const { return up_; }
  bool frozen() const { return frozen_; }

  /// The cores built by the builder; null while the node is down.
  template <class Cores>
  Cores* cores() const {
    return static_cast<Cores*>(cores_.get());
  }

  /// The node's disk; null without one. Outlives the node's process.
  SimDisk* disk() { return disk_.get(); }

  void start();
  /// Power loss: the process ends and unsynced writes are lost or torn.
  void kill();
  /// Suspends the process: its events are deferred until `unfreeze`.
  void freeze();
  void unfreeze();
  /// Replaces the disk by an empty one. Only while the node is down.
  void emptyDisk();

  /// Runs @p task as an external request that arrives now: at once, when the node is unfrozen, or
  /// not at all if it is down.
  void post(std::function<void()> task) { runOrHold(process_, std::move(task)); }
  /// Wraps @p task so that it is dropped if the current process has ended.
  std::function<void()> inThisProcess(std::function<void()> task);
  /// Incarnation of the process; incremented at each start and kill.
  std::uint64_t process() const { return process_; }

 private:
  class Context;
  friend class World;

  /// Runs @p event now, or when the node is unfrozen. Drops it if @p process has ended.
  void runOrHold(std::uint64_t process, std::function<void()> event);
  void receive(const NodeId& from, const Message& message);

  World& world_;
  const NodeId id_;
  const Builder builder_;
  std::unique_ptr<SimDisk> disk_;
  std::map<ServiceId, std::unique_ptr<Context>> contexts_;
  std::shared_ptr<void> cores_;
  std::deque<std::pair<std::uint64_t, std::function<void()>>> held_;
  std::uint64_t process_ = 0;  ///< Incremented at each start and kill.
  bool up_ = false;
  bool frozen_ = false;
};

/// Owns the clock, the events, the network and the nodes.
class World {
 public:
  explicit World(std::uint64_t seed);

  Time now() const { return now_; }
  RandomEngine& random() { return random_; }
  NetworkOptions& network() { return network_; }
  const NetworkOptions& network() const { return network_; }

  /// Returns a random number from 0 (included) to 1 (excluded).
  double chance();
  /// Returns a random duration from @p low (included) to @p high (excluded).
  Duration between(Duration low, Duration high);
  /// Returns a random index below @p size.
  std::size_t pick(std::size_t size);

  SimNode& addNode(const NodeId& id, bool hasDisk, SimNode::Builder builder);
  SimNode& node(const NodeId& id) { return *nodes_.at(id); }
  const std::map<NodeId, std::unique_ptr<SimNode>>& nodes() const { return nodes_; }

  /// Runs @p event after @p delay.
  void schedule(Duration delay, std::function<void()> event);

  /// Runs events until @p duration has passed. After each event the checks run.
  void run(Duration duration);

  /// Runs until @p condition holds; returns false if it does not within @p limit.
  bool runUntil(const std::function<bool()>& condition, Duration limit);

  /// Adds a check that runs after every event.
  void addCheck(std::function<void()> check) { checks_.push_back(std::move(check)); }

  /// Records a violation of an invariant. The run continues, so that all violations are reported.
  void violation(const std::string& invariant, const std::string& detail);
  const std::vector<std::string>& violations() const { return violations_; }

  /// Adds a line to the trace of the run.
  void trace(const std::string& line);
  const std::deque<std::string>& traceLines() const { return trace_; }
  /// Hash of all trace lines so far; equal for equal runs.
  std::uint64_t traceHash() const { return traceHash_; }
  /// Hash of every message sent and every record written so far, with their times. It does not
  /// depend on the texts of the trace, so that renames do not change it.
  std::uint64_t behaviourHash() const { return behaviourHash_; }

  /// Cuts or heals the connection between two nodes, both ways.
  void cut(const NodeId& left, const NodeId& right);
  void heal(const NodeId& left, const NodeId& right);
  /// Cuts @p group off from all other nodes.
  void isolate(const std::set<NodeId>& group);
  void healAll() { cuts_.clear(); }

  Counters& counters() { return counters_; }
  double counter(const std::string& name) const;

  std::uint64_t eventsRun() const { return eventsRun_; }

  bool connected(const NodeId& left, const NodeId& right) const;
  bool anyCut() const { return !cuts_.empty(); }

 private:
  friend class SimNode;
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
  };
  class MapCounters : public Counters {
   public:
    void add(std::string_view name, double amount) override { values[std::string(name)] += amount; }
    void set(std::string_view name, double value) override { values[std::string(name)] = value; }
    std::map<std::string, double> values;
  };

  void transmit(const NodeId& from, const NodeId& to, const Message& message);
  void deliverAfter(Duration delay, const NodeId& from, const NodeId& to, const Message& message);
  void mixIntoHash(std::uint64_t value);
  /// Mixes the current time and @p bytes into the behaviour hash.
  void mixIntoBehaviour(std::string_view bytes);
  void runNextEvent();

  Time now_ = Time(std::chrono::seconds(1000));
  RandomEngine random_;
  NetworkOptions network_;
  std::map<NodeId, std::unique_ptr<SimNode>> nodes_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t nextOrder_ = 0;
  std::uint64_t eventsRun_ = 0;
  std::set<std::pair<NodeId, NodeId>> cuts_;
  std::vector<std::function<void()>> checks_;
  std::vector<std::string> violations_;
  std::deque<std::string> trace_;
  std::uint64_t traceHash_ = 0;
  std::uint64_t behaviourHash_ = 0;
  MapCounters counters_;
};

}  // namespace shedshed::sim

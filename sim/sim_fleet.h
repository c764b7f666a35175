/// @file
/// A whole simulated fleet: stores, register machines, fronts and engines, in three zones.
#pragma once

#include "assembly/control_cores.h"
#include "assembly/data_cores.h"
#include "settings/settings.h"
#include "sim/invariants.h"
#include "sim/sim_engine.h"
#include "sim/world.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace shedshed::sim {

inline constexpr int kZones = 3;
inline constexpr int kFronts = 11;
inline constexpr int kEngines = 12;
inline constexpr const char* kModel = "model";

/// A live call as a caller hands it in.
struct LiveCall {
  std::string key;
  std::string body;  ///< Unique.
  bool repeatable = false;
};

/// The cores of a front and what serving adds to them, as a model without HTTP.
class SimFront {
 public:
  SimFront(SimNode& node, const NodeOptions& options, SimEngines& engines, Invariants& invariants);

  /// Takes @p call through the steps of the live chain: proof, key, slot, proof and key again,
  /// engine, release. @p done gets the engine's answer or the refusal.
  void serve(LiveCall call, std::function<void(Result<EngineAnswer>)> done);

  /// Refuses new calls and hands batches back.
  void drain();
  /// True if no call and no batch item is under way.
  bool idle() const { return calls_ == 0 && cores.runner->idle(); }

  FrontEngineClient engines;
  DataCores cores;

 private:
  struct Call;
  Result<std::string> admit(const std::string& key) const;
  void granted(const std::shared_ptr<Call>& call, const Result<SlotGrant>& grant);

  SimNode& node_;
  Invariants& invariants_;
  SettingsTree tree_;
  int calls_ = 0;
  bool draining_ = false;
};

/// Owns the nodes' wiring; faults are caused through it, so that it knows whether it is healthy.
class SimFleet {
 public:
  SimFleet(World& world, Invariants& invariants, SimEngines& engines, Safeguards safeguards);

  /// Starts all nodes and forms the fleet.
  /// @return false if the fleet does not come up
  bool start();

  const std::vector<NodeId>& stores() const { return stores_; }
  const std::vector<NodeId>& registers() const { return registers_; }
  const std::vector<NodeId>& fronts() const { return fronts_; }
  std::vector<NodeId> controls() const;
  std::vector<NodeId> allNodes() const;
  /// Nodes of a zone, 0 to `kZones` - 1.
  std::set<NodeId> zone(int index) const;

  SimNode& node(const NodeId& id) { return world_.node(id); }
  /// Null while the node is down.
  SimFront* front(const NodeId& id) { return node(id).cores<SimFront>(); }
  ControlCores* control(const NodeId& id) { return node(id).cores<ControlCores>(); }
  /// The register service of any node; null while the node is down.
  RegisterCore* registerOf(const NodeId& id);
  /// Returns a front that is up, at random.
  NodeId anyFront();

  void kill(const NodeId& id);
  void restart(const NodeId& id);
  void freeze(const NodeId& id);
  void unfreeze(const NodeId& id);
  void isolate(const std::set<NodeId>& group);
  void heal();
  /// Ends all faults: network, cuts, frozen and dead nodes, engines.
  void healAllFaults();
  /// Notes that something is wrong from now on that the fleet cannot see itself.
  void recordFault();

  /// The machine is gone for good, with its disk.
  void destroy(const NodeId& id);
  /// Called with no event running, each time after something was acknowledged to an operator or to
  /// a caller who handed in a batch.
  void setAcknowledgedHook(std::function<void()> hook) { acknowledgedHook_ = std::move(hook); }
  void acknowledged();

  /// Adds a store machine with an empty disk; it is no member yet.
  NodeId addStore();
  /// Orders the replacement of a store at @p by; @p done is called when it is reported done.
  void replaceStore(const NodeId& by, const NodeId& oldId, const NodeId& newId,
                    std::function<void(Result<MemberList>)> done);

  /// Traces the partitions that have not exactly one owner, for people who look for a cause.
  void traceOwners();
  /// A version was acknowledged at @p since: all fronts of a healthy fleet use it or a newer one.
  void checkAdoption(std::uint64_t version, Time since);
  /// True if nothing has been wrong since @p since.
  bool healthySince(Time since) const;

  World& world() { return world_; }
  Invariants& invariants() { return invariants_; }
  SimEngines& engines() { return engines_; }

 private:
  NodeId addNode(int zoneIndex, NodeRole role, int index);
  NodeOptions optionsOf(SimNode& node, NodeRole role, int zoneIndex) const;
  void watchSettings(SimNode& node, ConfigurationCore& configuration);
  void checkSlots();
  void checkIsolatedNodes();
  void runPeriodicChecks();
  bool reachesMajority(const NodeId& id) const;

  World& world_;
  Invariants& invariants_;
  SimEngines& engines_;
  const Safeguards safeguards_;
  std::vector<NodeId> stores_;
  std::vector<NodeId> registers_;
  std::vector<NodeId> fronts_;
  std::map<NodeId, int> zoneOf_;
  std::map<NodeId, Time> isolatedSince_;
  Time lastFault_{};
  int nextStore_ = 0;
  std::function<void()> acknowledgedHook_;
};

}  // namespace shedshed::sim

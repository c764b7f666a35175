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

/// A live call as submitted by a caller.
struct LiveCall {
  std::string key;
  std::string body;  ///< Unique.
  bool repeatable = false;
};

/// The cores of a front, and a model of the serving path without HTTP.
class SimFront {
 public:
  SimFront(SimNode& node, const NodeOptions& options, SimEngines& engines, Invariants& invariants);

  /// Processes @p call as the serving path does: checks the configuration lease and the key,
  /// acquires a slot, repeats both checks, calls an engine and releases the slot. @p done gets the
  /// engine's answer or the error.
  void serve(LiveCall call, std::function<void(Result<EngineAnswer>)> done);

  /// Rejects new calls and returns assigned batch runs.
  void drain();
  /// True if no call and no batch item is in progress.
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

/// Builds and connects the nodes. Faults are injected through this class, so that it knows whether
/// the fleet is healthy.
class SimFleet {
 public:
  SimFleet(World& world, Invariants& invariants, SimEngines& engines, Safeguards safeguards);

  /// Starts all nodes and forms the fleet.
  /// @return false if the fleet is not formed in time
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
  /// Returns a random front that is up; the first front if none is.
  NodeId anyFront();

  void kill(const NodeId& id);
  void restart(const NodeId& id);
  void freeze(const NodeId& id);
  void unfreeze(const NodeId& id);
  void isolate(const std::set<NodeId>& group);
  void heal();
  /// Ends all faults: of the network, of engines, and of frozen or stopped nodes.
  void healAllFaults();
  /// Records the current time as that of the latest fault, for faults not injected through this
  /// class.
  void recordFault();

  /// Removes the machine and its disk permanently.
  void destroy(const NodeId& id);
  /// Sets a hook that runs as an event of its own after each acknowledgement of a settings change
  /// or of a batch submission.
  void setAcknowledgedHook(std::function<void()> hook) { acknowledgedHook_ = std::move(hook); }
  void acknowledged();

  /// Adds a store machine with an empty disk; it is not yet a member of the fleet.
  NodeId addStore();
  /// Requests the replacement of a store at node @p by; @p done gets the outcome.
  void replaceStore(const NodeId& by, const NodeId& oldId, const NodeId& newId,
                    std::function<void(Result<MemberList>)> done);

  /// Traces the partitions that do not have exactly one owner and the slots of each front, for
  /// debugging.
  void traceOwners();
  /// Checks that all fronts use @p version or a newer one, if the fleet has been healthy since it
  /// was acknowledged at @p since.
  void checkAdoption(std::uint64_t version, Time since);
  /// True if the network is healthy and the latest fault was over well before @p since.
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

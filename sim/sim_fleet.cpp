#include "sim/sim_fleet.h"

#include <algorithm>

namespace shedshed::sim {
namespace {

constexpr int kStores = 3;
constexpr int kRegisters = 3;
constexpr std::uint32_t kEngineMaxRunning = 8;
constexpr std::size_t kSeeds = 3;
/// Nodes start at different times; otherwise all their timers would stay synchronized.
constexpr Duration kStartSpread = std::chrono::seconds(1);
constexpr Duration kCheckInterval = std::chrono::milliseconds(20);
constexpr Duration kFormTimeout = std::chrono::seconds(20);
/// Time after the latest fault in which a fleet does not count as healthy.
constexpr Duration kRecoveryTime = std::chrono::seconds(15);

std::string addressOf(NodeRole role, int index) {
  const std::string host = std::to_string(index + 1);
  switch (role) {
  case NodeRole::Store:
    return "10.0.1." + host + ":7000";
  case NodeRole::Register:
    return "10.0.2." + host + ":7000";
  default:
    return "10.0.3." + host + ":7000";
  }
}

}  // namespace

SimFleet::SimFleet(World& world, Invariants& invariants, SimEngines& engines, Safeguards safeguards)
    : world_(world), invariants_(invariants), engines_(engines), safeguards_(safeguards) {
  for (int i = 0; i < kStores; ++i) {
    stores_.push_back(addNode(i % kZones, NodeRole::Store, i));
  }
  nextStore_ = kStores;
  for (int i = 0; i < kRegisters; ++i) {
    registers_.push_back(addNode(i % kZones, NodeRole::Register, i));
  }
  for (int i = 0; i < kFronts; ++i) {
    fronts_.push_back(addNode(i % kZones, NodeRole::Data, i));
  }
  for (int i = 0; i < kEngines; ++i) {
    const std::string name = std::to_string(i + 1);
    engines_.add({"engine" + name, "10.0.4." + name + ":8000", kModel, kEngineMaxRunning});
  }
}

NodeId SimFleet::addNode(int zoneIndex, NodeRole role, int index) {
  const NodeId id{addressOf(role, index)};
  zoneOf_[id] = zoneIndex;
  const bool hasDisk = role != NodeRole::Data;
  world_.addNode(id, hasDisk, [this, role, zoneIndex](SimNode& node) -> std::shared_ptr<void> {
    const NodeOptions options = optionsOf(node, role, zoneIndex);
    if (role == NodeRole::Data) {
      auto front = std::make_shared<SimFront>(node, options, engines_, invariants_);
      watchSettings(node, front->cores.configuration);
      return front;
    }
    auto control = std::make_shared<ControlCores>(node, options);
    watchSettings(node, control->configuration);
    return control;
  });
  return id;
}

NodeOptions SimFleet::optionsOf(SimNode& node, NodeRole role, int zoneIndex) const {
  NodeOptions options;
  options.self.id = node.id();
  options.self.role = role;
  options.self.zone = "zone" + std::to_string(zoneIndex);
  options.self.storeId = node.disk() == nullptr ? std::string() : node.disk()->storeId();
  for (std::size_t i = 0; i < kSeeds; ++i) {
    options.seeds.push_back(stores_.size() > i ? stores_[i]
                                               : NodeId{addressOf(NodeRole::Store, int(i))});
  }
  options.safeguards = safeguards_;
  return options;
}

void SimFleet::watchSettings(SimNode& node, ConfigurationCore& configuration) {
  configuration.subscribe(kSettingsRegister, [this, &node](const RegisterValue& value) {
    invariants_.settings.adopted(node.id(), value);
  });
}

bool SimFleet::start() {
  for (const NodeId& id : allNodes()) {
    world_.schedule(world_.between(Duration{0}, kStartSpread), [this, id] { node(id).start(); });
  }
  world_.run(kStartSpread);
  std::vector<NodeId> acceptors = controls();
  std::optional<bool> formed;
  control(stores_[0])
      ->registers.formFleet(acceptors, stores_, 0, [&formed](const Result<MemberList>& members) {
        formed = static_cast<bool>(members);
      });
  world_.runUntil([&formed] { return formed.has_value(); }, kFormTimeout);
  if (!formed.value_or(false)) {
    return false;
  }
  runPeriodicChecks();
  return true;
}

std::vector<NodeId> SimFleet::controls() const {
  std::vector<NodeId> result = stores_;
  result.insert(result.end(), registers_.begin(), registers_.end());
  return result;
}

std::vector<NodeId> SimFleet::allNodes() const {
  std::vector<NodeId> result = controls();
  result.insert(result.end(), fronts_.begin(), fronts_.end());
  return result;
}

std::set<NodeId> SimFleet::zone(int index) const {
  std::set<NodeId> result;
  for (const NodeId& id : allNodes()) {
    if (zoneOf_.at(id) == index) {
      result.insert(id);
    }
  }
  return result;
}

RegisterCore* SimFleet::registerOf(const NodeId& id) {
  if (!node(id).up()) {
    return nullptr;
  }
  const bool isFront = std::find(fronts_.begin(), fronts_.end(), id) != fronts_.end();
  return isFront ? &front(id)->cores.registers : &control(id)->registers;
}

NodeId SimFleet::anyFront() {
  std::vector<NodeId> up;
  for (const NodeId& id : fronts_) {
    if (node(id).up()) {
      up.push_back(id);
    }
  }
  return up.empty() ? fronts_[0] : up[world_.pick(up.size())];
}

void SimFleet::recordFault() {
  lastFault_ = world_.now();
}

void SimFleet::kill(const NodeId& id) {
  recordFault();
  node(id).kill();
}

void SimFleet::restart(const NodeId& id) {
  recordFault();
  node(id).start();
}

void SimFleet::freeze(const NodeId& id) {
  recordFault();
  node(id).freeze();
}

void SimFleet::unfreeze(const NodeId& id) {
  recordFault();
  node(id).unfreeze();
}

void SimFleet::isolate(const std::set<NodeId>& group) {
  recordFault();
  std::string names;
  for (const NodeId& id : group) {
    names += " " + id.address;
  }
  world_.trace("isolated:" + names);
  world_.isolate(group);
}

void SimFleet::heal() {
  recordFault();
  world_.trace("network heals");
  world_.healAll();
}

void SimFleet::healAllFaults() {
  heal();
  world_.network() = NetworkOptions{};
  engines_.heal();
  for (const NodeId& id : allNodes()) {
    node(id).unfreeze();
    node(id).start();
  }
}

void SimFleet::destroy(const NodeId& id) {
  kill(id);
  world_.trace(id.address + " is destroyed with its disk");
  stores_.erase(std::remove(stores_.begin(), stores_.end(), id), stores_.end());
}

void SimFleet::acknowledged() {
  // The hook may kill the process that sent the acknowledgement, so it runs as a separate event.
  world_.schedule(Duration{0}, [this] {
    if (acknowledgedHook_) {
      acknowledgedHook_();
    }
  });
}

NodeId SimFleet::addStore() {
  const int index = nextStore_++;
  const NodeId id = addNode(index % kZones, NodeRole::Store, index);
  stores_.push_back(id);
  restart(id);
  return id;
}

void SimFleet::replaceStore(const NodeId& by, const NodeId& oldId, const NodeId& newId,
                            std::function<void(Result<MemberList>)> done) {
  world_.trace("replace " + oldId.address + " by " + newId.address);
  node(by).post([this, by, oldId, newId, done = std::move(done)] {
    control(by)->registers.replaceMember(oldId, newId, done);
  });
}

bool SimFleet::healthySince(Time since) const {
  const NetworkOptions& network = world_.network();
  const bool goodNetwork = network.loss == 0 && network.lateness == 0 && !world_.anyCut();
  return goodNetwork && lastFault_ + kRecoveryTime <= since;
}

void SimFleet::traceOwners() {
  for (const TableKind kind : {TableKind::Slots, TableKind::Batches}) {
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      std::string owners;
      std::size_t count = 0;
      for (const NodeId& id : stores_) {
        if (node(id).up() && control(id)->store->partitions.owns({kind, index})) {
          owners += " " + id.address;
          ++count;
        }
      }
      if (count != 1) {
        world_.trace("partition " + std::to_string(static_cast<int>(kind)) + "/" +
                     std::to_string(index) + " has owners:" + owners);
      }
    }
  }
  for (const NodeId& id : fronts_) {
    std::string held;
    for (const HolderLease& slot : front(id)->cores.slots.leases()) {
      held +=
          " " + slot.claim.limiter + "/" + slot.claim.key + "#" + std::to_string(slot.claim.number);
    }
    world_.trace(id.address + " holds:" + held);
  }
}

void SimFleet::checkAdoption(std::uint64_t version, Time since) {
  if (!healthySince(since)) {
    return;
  }
  for (const NodeId& id : fronts_) {
    const bool active = node(id).up() && !node(id).frozen();
    if (active && front(id)->cores.configuration.current(kSettingsRegister).version < version) {
      world_.violation("new settings take effect in time",
                       "version " + std::to_string(version) + " at " + id.address);
    }
  }
}

void SimFleet::runPeriodicChecks() {
  checkSlots();
  checkIsolatedNodes();
  world_.schedule(kCheckInterval, [this] { runPeriodicChecks(); });
}

/// Checks that no slot number of a pool has two holders with valid leases.
void SimFleet::checkSlots() {
  std::map<std::pair<std::pair<std::string, std::string>, std::uint32_t>, NodeId> holders;
  for (const NodeId& id : fronts_) {
    if (!node(id).up()) {
      continue;
    }
    for (const HolderLease& held : front(id)->cores.slots.leases()) {
      if (held.validUntil <= world_.now()) {
        continue;
      }
      const SlotClaim& claim = held.claim;
      const auto added = holders.insert({{{claim.limiter, claim.key}, claim.number}, id});
      if (!added.second) {
        world_.violation("at most one holder per slot number",
                         claim.limiter + "/" + claim.key + " number " +
                             std::to_string(claim.number) + " at " + id.address + " and " +
                             added.first->second.address);
      }
    }
  }
}

bool SimFleet::reachesMajority(const NodeId& id) const {
  std::size_t reached = 0;
  const std::vector<NodeId> voters = controls();
  for (const NodeId& other : voters) {
    reached += other == id || world_.connected(id, other) ? 1 : 0;
  }
  return 2 * reached > voters.size();
}

/// Checks that a control node isolated from the majority for `kIsolationBound` has no valid
/// configuration lease and owns no partition.
void SimFleet::checkIsolatedNodes() {
  if (!world_.anyCut()) {
    isolatedSince_.clear();
    return;
  }
  for (const NodeId& id : controls()) {
    if (!node(id).up() || node(id).frozen() || reachesMajority(id)) {
      isolatedSince_.erase(id);
      continue;
    }
    const Time since = isolatedSince_.emplace(id, world_.now()).first->second;
    if (world_.now() - since < kIsolationBound) {
      continue;
    }
    const ControlCores& cores = *control(id);
    if (cores.configuration.freshUntil() > world_.now()) {
      world_.violation("an isolated node has no configuration lease", id.address);
    }
    for (std::uint32_t index = 0; cores.store && index < kPartitionCount; ++index) {
      if (cores.store->partitions.owns({TableKind::Slots, index}) ||
          cores.store->partitions.owns({TableKind::Batches, index})) {
        world_.violation("an isolated node owns no partition", id.address);
        break;
      }
    }
  }
}

}  // namespace shedshed::sim

/// @file
/// Two stores and two data nodes for tests of the slots.
#pragma once

#include "core_harness.h"
#include "fake_partition_store.h"
#include "partition/owner_locator.h"
#include "slots/lending_core.h"
#include "slots/slot_client_core.h"
#include "slots/slot_owner_core.h"

#include <memory>
#include <ostream>
#include <set>

namespace shedshed {
inline std::ostream& operator<<(std::ostream& out, ErrorCode code) {
  return out << errorTypeName(code);
}
}  // namespace shedshed

namespace shedshed::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kTestTimeToLive = seconds(6);

class FakeDirectory : public Directory {
 public:
  std::shared_ptr<const NodeTable> table() const override { return nodes; }
  void addListener(std::function<void(const NodeTable&)>) override {}
  void announceDraining(bool) override {}
  std::shared_ptr<NodeTable> nodes = std::make_shared<NodeTable>();
};

class FakeConfiguration : public ConfigurationSource {
 public:
  void subscribe(const std::string& name,
                 std::function<void(const RegisterValue&)> listener) override {
    listener(current(name));
  }
  RegisterValue current(const std::string& name) const override {
    const auto found = values.find(name);
    return found == values.end() ? RegisterValue{} : found->second;
  }
  Time freshUntil() const override { return Time::max(); }
  std::map<std::string, RegisterValue> values;
};

class FakeEngines : public EngineSource {
 public:
  std::shared_ptr<const EngineTable> table() const override { return engines; }
  void addListener(std::function<void(const EngineTable&)>) override {}
  void setReady(std::uint32_t maxRunning) {
    engines->engines = {{"e1", "e:1", "m", maxRunning, 0, EngineState::Ready}};
  }
  std::shared_ptr<EngineTable> engines = std::make_shared<EngineTable>();
};

class FakeRates : public PoolRateSource {
 public:
  PoolRate rate(const PoolName& pool) const override {
    const auto found = rates.find(pool.key);
    return found == rates.end() ? PoolRate{} : found->second;
  }
  std::vector<PoolName> tenantPools() const override {
    std::vector<PoolName> pools;
    for (const auto& entry : rates) {
      pools.push_back({kTenantLimiter, entry.first});
    }
    return pools;
  }
  double batchReserve() const override { return 0.1; }
  Duration longestTimeToLive() const override { return kTestTimeToLive; }
  std::map<std::string, PoolRate> rates;
};

/// Error code of a rejected @p result; `Internal` if it was granted.
inline ErrorCode codeOf(const Result<SlotGrant>& result) {
  return result.has_error() ? result.error().code : ErrorCode::Internal;
}

/// One data node with its slot client.
struct DataNode {
  DataNode(Harness& harness, const std::string& name, FakeDirectory& directory,
           FakeConfiguration& configuration, SlotSafeguards safeguards)
      : locator(directory, configuration), context(harness.context(name, ServiceId::SlotClient)),
        core(context, locator, {safeguards, kStoreDeadline}) {
    harness.attach(context, core);
    core.start();
  }
  OwnerLocator locator;
  HarnessContext& context;
  SlotClientCore core;
};

/// One store with its owner core.
struct Store {
  Store(Harness& harness, const std::string& name, FakeMajority& majority, FakeRates& rates,
        FakeEngines& engines, FakeDirectory& directory, SlotSafeguards safeguards)
      : table(majority, {name}), context(harness.context(name, ServiceId::SlotOwner)),
        core(context, table, rates, engines, directory, {safeguards, kDirectorySettle}) {
    harness.attach(context, core);
    core.start();
  }
  FakePartitionStore table;
  HarnessContext& context;
  SlotOwnerCore core;
};

/// Two stores and two data nodes. `s1:1` owns all partitions at the start.
class SlotFleet {
 public:
  explicit SlotFleet(SlotSafeguards safeguards = {}) {
    for (const char* name : {"f1:1", "f2:1"}) {
      directory.nodes->nodes.push_back({{name}, NodeRole::Data});
    }
    MemberList members;
    for (const char* name : {"s1:1", "s2:1"}) {
      directory.nodes->nodes.push_back({{name}, NodeRole::Store});
      members.stores.push_back({{name}, name});
    }
    configuration.values[kMembersRegister] = {1, encodeRecord(members)};
    rates.rates["t"] = {0, 2};
    for (int i = 0; i < 2; ++i) {
      const std::string number = std::to_string(i + 1);
      stores.push_back(std::make_unique<Store>(harness, "s" + number + ":1", majority, rates,
                                               engines, directory, safeguards));
      dataNodes.push_back(std::make_unique<DataNode>(harness, "f" + number + ":1", directory,
                                                     configuration, safeguards));
    }
    stores[0]->table.takeOver(nullptr, 0, RecoveryKind::Complete);
    harness.settle();
  }

  /// Store @p to takes over; the other one is notified immediately if @p notified.
  void takeOver(int to, RecoveryKind recovery, bool notified = true, std::size_t surviving = 0) {
    stores[to]->table.takeOver(&stores[1 - to]->table, surviving, recovery);
    if (notified) {
      stores[1 - to]->table.notifyOwnershipLost();
    }
  }

  /// Sets the state that the directory reports for @p node.
  void setState(const std::string& node, NodeState state) {
    for (NodeInfo& info : directory.nodes->nodes) {
      if (info.id.address == node) {
        info.state = state;
      }
    }
  }

  static SlotLimit limit(const std::string& key, bool failOpen = false, Duration block = {},
                         const std::string& limiter = kTenantLimiter) {
    return {{limiter, key}, failOpen, block, milliseconds(100), kTestTimeToLive};
  }

  /// Starts an acquisition on data node @p dataNode; the outcome is stored in the returned object.
  std::shared_ptr<std::optional<Result<SlotGrant>>> start(int dataNode,
                                                          std::vector<SlotLimit> limits) {
    auto outcome = std::make_shared<std::optional<Result<SlotGrant>>>();
    dataNodes[dataNode]->core.acquire({"request", SlotClass::Live, std::move(limits)},
                                      [outcome](Result<SlotGrant> result) { *outcome = result; });
    return outcome;
  }

  /// Acquires and waits for up to two store deadlines.
  Result<SlotGrant> acquire(int dataNode, std::vector<SlotLimit> limits) {
    const auto outcome = start(dataNode, std::move(limits));
    harness.settle();
    for (int i = 0; i < 40 && !*outcome; ++i) {
      harness.advance(milliseconds(100));
    }
    return outcome->has_value() ? **outcome : makeError(ErrorCode::Internal, "no outcome");
  }

  /// True if two holders rely on the same number at present.
  bool numberGrantedTwice() const {
    std::set<std::pair<std::string, std::uint32_t>> numbers;
    for (const auto& dataNode : dataNodes) {
      for (const HolderLease& lease : dataNode->core.leases()) {
        const bool valid = lease.validUntil > harness.now;
        if (valid && !numbers.insert({lease.claim.key, lease.claim.number}).second) {
          return true;
        }
      }
    }
    return false;
  }

  /// Returns the number of acknowledged slot rows.
  std::size_t rows() const {
    std::size_t count = 0;
    for (const auto& table : majority.tables) {
      count += table.second.size() - table.second.count(kRecoveringRow);
    }
    return count;
  }

  /// Drops every message from and to @p node.
  void isolate(const std::string& node) {
    harness.filter = [node](const Harness::Envelope& envelope) {
      return envelope.to.address != node && envelope.from.address != node;
    };
  }
  void heal() {
    harness.filter = [](const Harness::Envelope&) { return true; };
  }

  Harness harness;
  FakeDirectory directory;
  FakeConfiguration configuration;
  FakeEngines engines;
  FakeRates rates;
  FakeMajority majority;
  std::vector<std::unique_ptr<Store>> stores;
  std::vector<std::unique_ptr<DataNode>> dataNodes;
};

}  // namespace shedshed::test

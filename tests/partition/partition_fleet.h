/// @file
/// Stores that run `PartitionCore` on the test harness.
#pragma once

#include "core_harness.h"
#include "partition/partition_core.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace shedshed::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeDirectory : public Directory {
 public:
  std::shared_ptr<const NodeTable> table() const override { return table_; }
  void addListener(std::function<void(const NodeTable&)>) override {}
  void announceDraining(bool) override {}
  void set(const std::string& address, NodeState state, const std::string& storeId) {
    NodeTable next = *table_;
    auto place = std::lower_bound(
        next.nodes.begin(), next.nodes.end(), NodeId{address},
        [](const NodeInfo& node, const NodeId& wanted) { return node.id < wanted; });
    if (place == next.nodes.end() || place->id.address != address) {
      place = next.nodes.insert(place, NodeInfo{NodeId{address}, NodeRole::Store});
    }
    place->state = state;
    place->storeId = storeId;
    table_ = std::make_shared<const NodeTable>(next);
  }

 private:
  std::shared_ptr<const NodeTable> table_ = std::make_shared<const NodeTable>();
};

class FakeConfiguration : public ConfigurationSource {
 public:
  void subscribe(const std::string&, std::function<void(const RegisterValue&)> listener) override {
    if (value_.version != 0) {
      listener(value_);
    }
    listeners_.push_back(std::move(listener));
  }
  RegisterValue current(const std::string&) const override { return value_; }
  Time freshUntil() const override { return fresh; }
  Time fresh = Time::max();
  void setStores(const std::map<std::string, std::string>& stores) {
    MemberList list;
    for (const auto& store : stores) {
      list.stores.push_back({NodeId{store.first}, store.second});
    }
    setList(list);
  }
  void setList(const MemberList& list) {
    value_ = {value_.version + 1, encodeRecord(list)};
    for (const auto& listener : listeners_) {
      listener(value_);
    }
  }

 private:
  RegisterValue value_;
  std::vector<std::function<void(const RegisterValue&)>> listeners_;
};

struct RecordingListener : PartitionListener {
  void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                       RecoveryKind recovery) override {
    gained[partition] = {epoch, recovery};
    owned.insert(partition);
  }
  void ownershipLost(const PartitionId& partition) override { owned.erase(partition); }
  std::map<PartitionId, std::pair<std::uint64_t, RecoveryKind>> gained;
  std::set<PartitionId> owned;
};

/// One running store with its own configuration source.
struct RunningStore {
  FakeConfiguration configuration;
  std::unique_ptr<PartitionCore> core;
  RecordingListener recorder;
};

/// The outcome of an asynchronous call.
struct Outcome {
  std::shared_ptr<std::optional<Status>> status = std::make_shared<std::optional<Status>>();
  std::function<void(Status)> callback() {
    return [status = status](Status result) { status->emplace(std::move(result)); };
  }
  bool succeeded() const { return *status && (*status)->has_value(); }
  bool failedWith(ErrorCode code) const {
    return *status && (*status)->has_error() && (*status)->error().code == code;
  }
  bool pending() const { return !*status; }
};

class Fleet {
 public:
  explicit Fleet(PartitionSafeguards safeguards = {}) : safeguards_(safeguards) {
    harness.filter = [this](const Harness::Envelope& envelope) {
      return blockedLinks.count({envelope.from.address, envelope.to.address}) == 0 &&
             messageFilter(envelope);
    };
    for (const char* name : {"a:1", "b:1", "c:1"}) {
      storeIds[name] = std::string("disk-") + name;
      start(name);
    }
    setMembers(storeIds);
    harness.advance(seconds(1));
  }
  ~Fleet() {
    for (const std::string& name : names()) {
      kill(name);
    }
  }

  /// Stops the renewal of @p name's freshness lease, which ends after @p lease.
  void stopFreshnessRenewal(const std::string& name, Duration lease) {
    stores.at(name).configuration.fresh = harness.now + lease;
  }
  void start(const std::string& name) {
    RunningStore& store = stores[name];
    HarnessContext& context = harness.context(name, ServiceId::Partition);
    contexts_[name] = &context;
    if (!members_.empty()) {
      store.configuration.setStores(members_);
    }
    store.core = std::make_unique<PartitionCore>(context, directory, store.configuration,
                                                 PartitionOptions{storeIds[name], safeguards_});
    store.core->setListener(TableKind::Slots, store.recorder);
    store.core->setListener(TableKind::Batches, store.recorder);
    harness.attach(context, *store.core);
    store.core->start();
    directory.set(name, NodeState::Alive, storeIds[name]);
  }
  /// Ends the process. The directory is not updated.
  void kill(const std::string& name) {
    runDeferred();
    auto& persists = harness.persists;
    persists.erase(std::remove_if(persists.begin(), persists.end(),
                                  [&](const Harness::PersistRequest& request) {
                                    return request.context == contexts_[name];
                                  }),
                   persists.end());
    harness.context(name, ServiceId::Partition);
    stores.erase(name);
  }
  void markDead(const std::string& name) { directory.set(name, NodeState::Dead, storeIds[name]); }
  void markDraining(const std::string& name) {
    directory.set(name, NodeState::Draining, storeIds[name]);
  }
  void killAndMarkDead(const std::string& name) {
    kill(name);
    markDead(name);
  }
  void setMembers(const std::map<std::string, std::string>& members) {
    members_ = members;
    for (auto& store : stores) {
      store.second.configuration.setStores(members);
    }
  }
  void blockLink(const std::string& from, const std::string& to, bool bothWays = true) {
    blockedLinks.insert({from, to});
    if (bothWays) {
      blockedLinks.insert({to, from});
    }
  }
  void advance(Duration by) { harness.advance(by); }

  PartitionCore& core(const std::string& name) { return *stores.at(name).core; }
  std::vector<std::string> names() const {
    std::vector<std::string> found;
    for (const auto& store : stores) {
      found.push_back(store.first);
    }
    return found;
  }
  /// All three stores in the owner order of @p partition.
  std::vector<std::string> order(const PartitionId& partition) const {
    std::vector<std::string> found;
    for (const NodeId& id : ownerOrder(partition, {{"a:1"}, {"b:1"}, {"c:1"}})) {
      found.push_back(id.address);
    }
    return found;
  }
  std::vector<std::string> owners(const PartitionId& partition) {
    std::vector<std::string> found;
    for (const auto& store : stores) {
      if (store.second.core->owns(partition)) {
        found.push_back(store.first);
      }
    }
    return found;
  }
  RecoveryKind recovery(const std::string& name, const PartitionId& partition) {
    return stores.at(name).recorder.gained.at(partition).second;
  }
  Outcome write(const std::string& name, const PartitionId& partition, const std::string& key,
                std::optional<std::string> value) {
    Outcome outcome;
    core(name).write(partition, {{key, std::move(value)}}, outcome.callback());
    return outcome;
  }
  Outcome confirm(const std::string& name, const PartitionId& partition) {
    Outcome outcome;
    core(name).confirmOwnership(partition, outcome.callback());
    return outcome;
  }
  /// Writes and waits until it is acknowledged.
  void writeAcknowledged(const std::string& name, const PartitionId& partition,
                         const std::string& key, std::optional<std::string> value) {
    const Outcome outcome = write(name, partition, key, std::move(value));
    advance(milliseconds(500));
    BOOST_REQUIRE(outcome.succeeded());
  }

  Harness harness;
  FakeDirectory directory;
  std::map<std::string, std::string> storeIds;
  std::map<std::string, RunningStore> stores;
  std::set<std::pair<std::string, std::string>> blockedLinks;
  std::function<bool(const Harness::Envelope&)> messageFilter = [](const Harness::Envelope&) {
    return true;
  };

 private:
  void runDeferred() {
    while (!harness.deferred.empty()) {
      auto task = std::move(harness.deferred.front());
      harness.deferred.pop_front();
      task();
    }
  }
  PartitionSafeguards safeguards_;
  std::map<std::string, std::string> members_;
  std::map<std::string, HarnessContext*> contexts_;
};

inline constexpr PartitionId kSlots{TableKind::Slots, 5};
inline constexpr PartitionId kBatches{TableKind::Batches, 9};
using Value = std::optional<std::string>;

}  // namespace shedshed::test

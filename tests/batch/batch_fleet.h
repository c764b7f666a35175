/// @file
/// Test fixture for batches: two stores and two data nodes with fake slots and engines.
#pragma once

#include "batch/batch_client_core.h"
#include "batch/batch_owner_core.h"
#include "batch/batch_runner_core.h"
#include "core_harness.h"
#include "fake_partition_store.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace shedshed::test {

using namespace std::chrono_literals;

class FakeDirectory : public Directory {
 public:
  FakeDirectory() : table_(std::make_shared<NodeTable>()) {}
  std::shared_ptr<const NodeTable> table() const override { return table_; }
  void addListener(std::function<void(const NodeTable&)>) override {}
  void announceDraining(bool) override {}
  void set(const std::string& node, NodeRole role, NodeState state) {
    auto next = std::make_shared<NodeTable>(*table_);
    auto& nodes = next->nodes;
    nodes.erase(std::remove_if(nodes.begin(), nodes.end(),
                               [&](const NodeInfo& info) { return info.id.address == node; }),
                nodes.end());
    NodeInfo info;
    info.id.address = node;
    info.role = role;
    info.state = state;
    nodes.push_back(info);
    std::sort(nodes.begin(), nodes.end(),
              [](const NodeInfo& left, const NodeInfo& right) { return left.id < right.id; });
    table_ = next;
  }

 private:
  std::shared_ptr<const NodeTable> table_;
};

class FakeConfiguration : public ConfigurationSource {
 public:
  FakeConfiguration() {
    MemberList members;
    members.stores = {{NodeId{"s1"}, "1"}, {NodeId{"s2"}, "2"}};
    values[kMembersRegister] = RegisterValue{1, encodeRecord(members)};
  }
  void subscribe(const std::string& name,
                 std::function<void(const RegisterValue&)> listener) override {
    if (values.count(name) != 0) {
      listener(values[name]);
    }
  }
  RegisterValue current(const std::string& name) const override { return values.at(name); }
  Time freshUntil() const override { return Time::max(); }
  std::map<std::string, RegisterValue> values;
};

/// Grants immediately while fewer than `capacity` grants are held.
class FakeSlots : public SlotClient {
 public:
  explicit FakeSlots(Harness& harness) : harness_(harness) {}
  void acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) override {
    const bool fullPool =
        std::any_of(request.limits.begin(), request.limits.end(), [this](const SlotLimit& limit) {
          return fullPoolKeys.count(limit.pool.key) != 0;
        });
    requests.push_back({harness_.now, std::move(request)});
    harness_.deferred.push_back([this, fullPool, done = std::move(done)] {
      if (fullPool || held.size() >= capacity) {
        done(makeError(ErrorCode::PoolFull));
        return;
      }
      held.insert(++lastGrant_);
      SlotGrant grant;
      grant.grantId = lastGrant_;
      done(grant);
    });
  }
  void release(std::uint64_t grantId) override { held.erase(grantId); }
  std::size_t capacity = 1000;
  std::set<std::string> fullPoolKeys;  ///< Keys of pools that reject every request.
  std::set<std::uint64_t> held;
  std::vector<std::pair<Time, SlotRequest>> requests;

 private:
  Harness& harness_;
  std::uint64_t lastGrant_ = 0;
};

/// Counts the runs of each body. Answers immediately unless `holdAnswers` is set.
class FakeEngines : public EngineRunner {
 public:
  explicit FakeEngines(Harness& harness) : harness_(harness) {}
  void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) override {
    ++runs[call.body];
    lastRun = harness_.now;
    openCalls.push_back({std::move(call), std::move(done)});
    if (!holdAnswers) {
      harness_.deferred.push_back([this] { answerNext(); });
    }
  }
  void answerNext() {
    if (openCalls.empty()) {
      return;
    }
    auto [call, done] = std::move(openCalls.front());
    openCalls.pop_front();
    if (fail) {
      if (fail->ran == Ran::No) {
        --runs[call.body];
      }
      done(*fail);
      return;
    }
    done(EngineAnswer{200, "answer " + std::to_string(++answers_) + " to " + call.body});
  }
  int maxRuns() const {
    int maximum = 0;
    for (const auto& entry : runs) {
      maximum = std::max(maximum, entry.second);
    }
    return maximum;
  }
  Result<ItemTarget> targetOf(const std::string& body, Time acceptedBefore) const override {
    if (modelsUndecided) {
      return makeError(ErrorCode::NotReady);
    }
    Result<ItemTarget> target = EngineRunner::targetOf(body, acceptedBefore);
    const auto moved = movedModels.find(target.value().model);
    if (moved != movedModels.end()) {
      target.value().model = moved->second;
    }
    target.value().giveUpAt =
        giveUpAfter == Duration{0} ? Time::max() : acceptedBefore + giveUpAfter;
    return target;
  }
  std::uint64_t targetsVersion() override { return version; }
  /// Sends the items of @p model to @p destination from now on, as a change of the settings does.
  void move(const std::string& model, const std::string& destination) {
    movedModels[model] = destination;
    ++version;
  }
  bool holdAnswers = false;
  bool modelsUndecided = false;  ///< `targetOf` fails with `NotReady`.
  std::map<std::string, std::string> movedModels;
  std::uint64_t version = 0;
  Duration giveUpAfter{0};  ///< After this time an item is given up; 0: never.
  std::optional<Error> fail;
  std::map<std::string, int> runs;
  Time lastRun{};
  std::deque<std::pair<EngineCall, std::function<void(Result<EngineAnswer>)>>> openCalls;

 private:
  Harness& harness_;
  int answers_ = 0;
};

/// The slot client of one process. Its destruction models a crash: grants are released and pending
/// requests are not called back.
class ProcessSlots : public SlotClient {
 public:
  explicit ProcessSlots(FakeSlots& slots) : slots_(slots) {}
  ~ProcessSlots() override {
    *alive_ = false;
    for (const std::uint64_t grant : grants_) {
      slots_.release(grant);
    }
  }
  void acquire(SlotRequest request, std::function<void(Result<SlotGrant>)> done) override {
    slots_.acquire(std::move(request), [this, &slots = slots_, alive = alive_,
                                        done = std::move(done)](Result<SlotGrant> grant) {
      if (!*alive) {
        if (grant) {
          slots.release(grant.value().grantId);
        }
        return;
      }
      if (grant) {
        grants_.insert(grant.value().grantId);
      }
      done(std::move(grant));
    });
  }
  void release(std::uint64_t grantId) override {
    grants_.erase(grantId);
    slots_.release(grantId);
  }

 private:
  FakeSlots& slots_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::set<std::uint64_t> grants_;
};

/// The engine client of one process. Its destruction models a crash: answers are dropped.
class ProcessEngines : public EngineRunner {
 public:
  explicit ProcessEngines(FakeEngines& engines) : engines_(engines) {}
  ~ProcessEngines() override { *alive_ = false; }
  Result<ItemTarget> targetOf(const std::string& body, Time acceptedBefore) const override {
    return engines_.targetOf(body, acceptedBefore);
  }
  std::uint64_t targetsVersion() override { return engines_.targetsVersion(); }
  void run(EngineCall call, std::function<void(Result<EngineAnswer>)> done) override {
    engines_.run(std::move(call),
                 [alive = alive_, done = std::move(done)](Result<EngineAnswer> answer) {
                   if (*alive) {
                     done(std::move(answer));
                   }
                 });
  }

 private:
  FakeEngines& engines_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Options of a `BatchFleet`.
struct BatchFleetOptions {
  BatchOwnerOptions owner;
  BatchClientOptions client;
  BatchRunnerOptions runner;
};

/// The nodes of the fixture. Store `s1` owns all partitions at first.
class BatchFleet {
 public:
  struct DataNode {
    DataNode(BatchFleet& fleet, HarnessContext& clientContext, HarnessContext& runnerContext)
        : locator(fleet.directory, fleet.configuration), slots(fleet.slots), engines(fleet.engines),
          client(clientContext, locator, fleet.options.client),
          runner(runnerContext, locator, slots, engines, fleet.configuration,
                 fleet.options.runner) {}
    OwnerLocator locator;
    ProcessSlots slots;
    ProcessEngines engines;
    BatchClientCore client;
    BatchRunnerCore runner;
  };

  explicit BatchFleet(BatchFleetOptions fleetOptions = {}) : options(std::move(fleetOptions)) {
    for (const std::string name : {"s1", "s2"}) {
      directory.set(name, NodeRole::Store, NodeState::Alive);
      auto& context = harness.context(name, ServiceId::BatchOwner);
      auto& store = stores[name];
      store = std::make_unique<StoreNode>(*this, name, context);
      harness.attach(context, store->core);
      store->core.start();
    }
    for (const std::string name : {"d1", "d2"}) {
      directory.set(name, NodeRole::Data, NodeState::Alive);
      startData(name);
    }
    installFilter();
    stores["s1"]->table.begin(1);
    stores["s2"]->table.hint = NodeId{"s1"};
    owner = "s1";
  }

  struct StoreNode {
    StoreNode(BatchFleet& fleet, const std::string& name, HarnessContext& context)
        : table(fleet.harness, NodeId{name}),
          core(context, table, fleet.configuration, fleet.directory, fleet.options.owner) {}
    FakePartitionStore table;
    BatchOwnerCore core;
  };

  /// Starts a data node, or restarts it as a new process.
  void startData(const std::string& name) {
    auto& clientContext = harness.context(name, ServiceId::BatchClient);
    auto& runnerContext = harness.context(name, ServiceId::BatchRunner);
    data[name] = std::make_unique<DataNode>(*this, clientContext, runnerContext);
    harness.attach(clientContext, data[name]->client);
    harness.attach(runnerContext, data[name]->runner);
    data[name]->client.start();
    data[name]->runner.start();
  }
  /// Drops all messages from and to @p node.
  void isolate(const std::string& node) { isolatedNodes.insert(node); }
  void installFilter() {
    harness.filter = [this](const Harness::Envelope& envelope) {
      return isolatedNodes.count(envelope.from.address) == 0 &&
             isolatedNodes.count(envelope.to.address) == 0;
    };
  }
  FakePartitionStore& table() { return stores[owner]->table; }
  /// The other store takes over. If @p unacknowledgedSurvive, outstanding writes of the previous
  /// owner are found by its successor. If not @p notifyPrevious, the previous owner does not learn
  /// of it.
  void failover(bool unacknowledgedSurvive, bool notifyPrevious = true) {
    FakePartitionStore& previous = table();
    owner = owner == "s1" ? "s2" : "s1";
    const bool holdWrites = previous.holdWrites;
    previous.holdWrites = false;
    table().holdWrites = holdWrites;
    table().takeOver(previous, unacknowledgedSurvive);
    if (notifyPrevious) {
      previous.loseOwnership();
    }
  }
  /// A batch of @p count items.
  static BatchSubmission batchOf(std::size_t count, const std::string& clientKey = "",
                                 bool idempotent = false, const std::string& tag = "item") {
    BatchSubmission submission;
    submission.tenant = "acme";
    submission.clientKey = clientKey;
    submission.idempotentItems = idempotent;
    for (std::size_t index = 0; index < count; ++index) {
      submission.items.push_back("{\"model\":\"m\",\"n\":\"" + tag + std::to_string(index) + "\"}");
    }
    return submission;
  }
  std::shared_ptr<std::optional<Result<BatchStatus>>> submit(BatchSubmission submission,
                                                             const std::string& node = "d1") {
    auto answer = std::make_shared<std::optional<Result<BatchStatus>>>();
    data[node]->client.submit(std::move(submission), [answer](Result<BatchStatus> result) {
      BOOST_TEST(!answer->has_value());
      answer->emplace(std::move(result));
    });
    return answer;
  }
  std::string accepted(BatchSubmission submission) {
    const auto answer = submit(std::move(submission));
    harness.settle();
    BOOST_REQUIRE(answer->has_value());
    BOOST_REQUIRE((*answer)->has_value());
    return (*answer)->value().id;
  }
  Result<BatchStatus> status(const std::string& id, const std::string& tenant = "acme") {
    std::optional<Result<BatchStatus>> answer;
    data["d2"]->client.status(tenant, id,
                              [&](Result<BatchStatus> result) { answer.emplace(result); });
    waitFor(answer);
    return *answer;
  }
  Result<BatchStatus> cancel(const std::string& id) {
    std::optional<Result<BatchStatus>> answer;
    data["d2"]->client.cancel("acme", id,
                              [&](Result<BatchStatus> result) { answer.emplace(result); });
    waitFor(answer);
    return *answer;
  }
  ResultPage page(const std::string& id, std::uint64_t from, std::uint32_t limit) {
    std::optional<Result<ResultPage>> answer;
    data["d2"]->client.results("acme", id, from, limit,
                               [&](Result<ResultPage> result) { answer.emplace(result); });
    waitFor(answer);
    BOOST_REQUIRE(answer->has_value());
    return answer->value();
  }
  template <class T>
  void waitFor(const std::optional<T>& answer) {
    harness.settle();
    for (int step = 0; !answer && step < 120; ++step) {
      harness.advance(100ms);
    }
    BOOST_REQUIRE(answer.has_value());
  }
  /// Returns the data node to which batch @p id is assigned.
  std::string runnerOf(const std::string& id) {
    const auto& rows = table().rows[partitionOf(TableKind::Batches, id)];
    const auto row = rows.find(runKey(id));
    return row == rows.end() ? "" : decodeRecord<RunRecord>(row->second).value().runner;
  }

  BatchFleetOptions options;
  Harness harness;
  FakeDirectory directory;
  FakeConfiguration configuration;
  FakeSlots slots{harness};
  FakeEngines engines{harness};
  std::map<std::string, std::unique_ptr<StoreNode>> stores;
  std::map<std::string, std::unique_ptr<DataNode>> data;
  std::set<std::string> isolatedNodes;
  std::string owner;
};

}  // namespace shedshed::test

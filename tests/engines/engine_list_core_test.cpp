#include "engines/engine_list_core.h"
#include "membership/test_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// Answers at once, unless a test makes it fail or leave reads unanswered.
class FakeListing : public ListingSource {
 public:
  void read(std::function<void(Result<std::vector<EngineInfo>>)> done) override {
    ++reads;
    if (unresponsive) {
      return;
    }
    if (fails) {
      done(makeError(ErrorCode::EngineFailed));
      return;
    }
    done(engines);
  }
  std::vector<EngineInfo> engines;
  bool fails = false;
  bool unresponsive = false;
  int reads = 0;
};

EngineInfo makeEngine(const std::string& id, EngineState state = EngineState::Ready) {
  EngineInfo engine;
  engine.id = id;
  engine.address = "10.0.0.1:80";
  engine.model = "s";
  engine.maxRunning = 8;
  engine.state = state;
  return engine;
}

constexpr int kRegisters = 3;
constexpr int kNodes = 6;

/// Nodes 0 to 2 read listings of their own, nodes 3 to 5 only pull.
struct ListFleet {
  ListFleet() {
    for (int index = 0; index < kNodes; ++index) {
      fleet.start(index, index < kRegisters ? NodeRole::Register : NodeRole::Data);
    }
    fleet.advance(5);
    for (int index = 0; index < kNodes; ++index) {
      listings[index].engines = {makeEngine("e1"), makeEngine("e2")};
      HarnessContext& context =
          fleet.harness.context(fleet.id(index).address, ServiceId::EngineList);
      lists[index] =
          std::make_unique<EngineListCore>(context, *fleet.cores.at(fleet.id(index)),
                                           index < kRegisters ? &listings[index] : nullptr);
      fleet.harness.attach(context, *lists[index]);
      lists[index]->start();
    }
    fleet.advance(2);
  }
  int reads() const {
    int total = 0;
    for (const auto& entry : listings) {
      total += entry.second.reads;
    }
    return total;
  }
  void setAll(const std::vector<EngineInfo>& engines) {
    for (auto& entry : listings) {
      entry.second.engines = engines;
    }
  }
  TestFleet fleet;
  std::map<int, FakeListing> listings;
  std::map<int, std::unique_ptr<EngineListCore>> lists;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_list)

BOOST_FIXTURE_TEST_CASE(one_node_reads_for_all, ListFleet) {
  for (int index = 0; index < kNodes; ++index) {
    BOOST_TEST(lists[index]->table()->engines.size() == 2U);
  }
  const int before = reads();
  fleet.advance(10);
  int readers = 0;
  for (const auto& entry : listings) {
    readers += entry.second.reads > 0 ? 1 : 0;
  }
  BOOST_TEST(readers == 1);
  // About two reads a second, however many nodes pull.
  BOOST_TEST(reads() - before <= 25);
}

BOOST_FIXTURE_TEST_CASE(a_draining_engine_is_known_everywhere_within_a_second, ListFleet) {
  setAll({makeEngine("e1", EngineState::Draining), makeEngine("e2")});
  fleet.harness.advance(std::chrono::milliseconds(1100));
  for (int index = kRegisters; index < kNodes; ++index) {
    BOOST_TEST((lists[index]->table()->engines[0].state == EngineState::Draining));
  }
}

BOOST_FIXTURE_TEST_CASE(a_reader_that_cannot_read_is_skipped, ListFleet) {
  for (auto& entry : listings) {
    entry.second.fails = entry.second.reads > 0;  // The current reader cannot reach the source.
  }
  setAll({makeEngine("e1", EngineState::Draining), makeEngine("e2")});
  fleet.harness.advance(std::chrono::milliseconds(2800));
  for (int index = kRegisters; index < kNodes; ++index) {
    BOOST_TEST((lists[index]->table()->engines[0].state == EngineState::Draining));
    BOOST_TEST(toMilliseconds(fleet.harness.now - lists[index]->validatedAt()) < 2500);
  }
}

BOOST_FIXTURE_TEST_CASE(a_reader_that_does_not_answer_is_skipped, ListFleet) {
  for (auto& entry : listings) {
    entry.second.unresponsive = entry.second.reads > 0;
  }
  setAll({makeEngine("e1", EngineState::Draining), makeEngine("e2")});
  fleet.harness.advance(std::chrono::milliseconds(2800));
  for (int index = kRegisters; index < kNodes; ++index) {
    BOOST_TEST((lists[index]->table()->engines[0].state == EngineState::Draining));
  }
}

BOOST_AUTO_TEST_SUITE_END()

/// After a restart of the whole fleet the nodes start with an empty directory, the readers a little
/// later. Until its first listing a node rejects all calls.
BOOST_AUTO_TEST_CASE(a_node_that_starts_with_the_complete_fleet_has_the_list_within_150_ms) {
  int longestMs = 0;
  for (int delayMs = 0; delayMs <= 600; delayMs += 20) {
    TestFleet fleet;
    std::map<int, FakeListing> listings;
    std::map<int, std::unique_ptr<EngineListCore>> lists;
    const auto start = [&](int index) {
      const bool reads = index < kRegisters;
      fleet.start(index, reads ? NodeRole::Register : NodeRole::Data);
      HarnessContext& context =
          fleet.harness.context(fleet.id(index).address, ServiceId::EngineList);
      listings[index].engines = {makeEngine("e1")};
      lists[index] = std::make_unique<EngineListCore>(context, *fleet.cores.at(fleet.id(index)),
                                                      reads ? &listings[index] : nullptr);
      fleet.harness.attach(context, *lists[index]);
      lists[index]->start();
    };
    start(kNodes - 1);
    fleet.harness.advance(std::chrono::milliseconds(delayMs));
    start(0);
    start(1);
    while (fleet.cores.at(fleet.id(kNodes - 1))->table()->live(NodeRole::Register).empty()) {
      fleet.harness.advance(std::chrono::milliseconds(10));
    }
    int elapsedMs = 0;
    while (elapsedMs < 2000 && lists[kNodes - 1]->table()->engines.empty()) {
      fleet.harness.advance(std::chrono::milliseconds(10));
      elapsedMs += 10;
    }
    longestMs = std::max(longestMs, elapsedMs);
  }
  BOOST_TEST(longestMs <= 150);
}

// Regression: in a large fleet one node answered the pulls of all, and every register node read the
// source.
BOOST_AUTO_TEST_CASE(data_nodes_of_a_large_fleet_pull_from_relays) {
  constexpr int kStores = 8;
  constexpr int kAll = 120;
  TestFleet fleet;
  std::map<int, FakeListing> listings;
  std::map<int, std::unique_ptr<EngineListCore>> lists;
  const auto roleOf = [](int index) {
    if (index < kRegisters) {
      return NodeRole::Register;
    }
    return index < kRegisters + kStores ? NodeRole::Store : NodeRole::Data;
  };
  const auto setAll = [&](const std::vector<EngineInfo>& engines) {
    for (auto& entry : listings) {
      entry.second.engines = engines;
    }
  };
  for (int index = 0; index < kAll; ++index) {
    fleet.start(index, roleOf(index));
    HarnessContext& context = fleet.harness.context(fleet.id(index).address, ServiceId::EngineList);
    lists[index] = std::make_unique<EngineListCore>(
        context, *fleet.cores.at(fleet.id(index)), index < kRegisters ? &listings[index] : nullptr);
    fleet.harness.attach(context, *lists[index]);
  }
  setAll({makeEngine("e1"), makeEngine("e2")});
  for (int index = 0; index < kAll; ++index) {
    lists[index]->start();
  }
  fleet.advance(5);
  for (int index = 0; index < kAll; ++index) {
    BOOST_TEST(lists[index]->table()->engines.size() == 2U);
  }

  std::map<NodeId, int> pulls;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    const bool isPull = envelope.message.service == ServiceId::EngineList &&
                        envelope.message.kind == ListingPull::kKind;
    pulls[envelope.to] += isPull ? 1 : 0;
    return true;
  };
  std::map<int, int> readsBefore;
  for (const auto& entry : listings) {
    readsBefore[entry.first] = entry.second.reads;
  }
  constexpr int kSeconds = 10;
  fleet.advance(kSeconds);
  int readers = 0;
  for (const auto& entry : listings) {
    readers += entry.second.reads > readsBefore[entry.first] ? 1 : 0;
  }
  BOOST_TEST(readers == 1);
  // Without relays one node would answer two pulls a second of each node: 240 a second.
  for (const auto& entry : pulls) {
    BOOST_TEST(entry.second / kSeconds < 100);
  }

  setAll({makeEngine("e1", EngineState::Draining), makeEngine("e2")});
  fleet.harness.advance(std::chrono::milliseconds(2000));
  for (int index = 0; index < kAll; ++index) {
    BOOST_TEST((lists[index]->table()->engines[0].state == EngineState::Draining));
    BOOST_TEST(toMilliseconds(fleet.harness.now - lists[index]->validatedAt()) < 2000);
  }
  // The reader cannot reach the source: another one reads instead.
  for (auto& entry : listings) {
    entry.second.fails = entry.second.reads > readsBefore[entry.first];
  }
  setAll({makeEngine("e1"), makeEngine("e2", EngineState::Draining)});
  fleet.harness.advance(std::chrono::milliseconds(4000));
  for (int index = 0; index < kAll; ++index) {
    BOOST_TEST((lists[index]->table()->engines[1].state == EngineState::Draining));
  }
}

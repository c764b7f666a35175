#include "engines/engine_health_checker_core.h"
#include "membership/test_fleet.h"

#include <algorithm>

using namespace shedshed;
using namespace shedshed::test;

namespace {

constexpr int kNodes = 6;
constexpr int kControl = 5;  ///< Number of the one node without a probe.

class FixedConfiguration : public ConfigurationSource {
 public:
  void subscribe(const std::string&, std::function<void(const RegisterValue&)> listener) override {
    listener(value);
    listeners.push_back(std::move(listener));
  }
  RegisterValue current(const std::string&) const override { return value; }
  Time freshUntil() const override { return Time::max(); }
  void set(std::string json) {
    value = {value.version + 1, std::move(json)};
    for (const auto& listener : listeners) {
      listener(value);
    }
  }
  RegisterValue value;
  std::vector<std::function<void(const RegisterValue&)>> listeners;
};

/// Answers at once; an unreachable engine never answers.
class FakeEngines : public EngineProbe {
 public:
  void probe(const std::string& address, std::function<void(EngineHealth)> done) override {
    ++probes;
    const EngineHealth health = engines[address];
    if (health.reachable) {
      done(health);
    }
  }
  std::map<std::string, EngineHealth> engines;
  int probes = 0;
};

struct WatchFleet {
  explicit WatchFleet(int engineCount = 4) {
    for (int i = 0; i < engineCount; ++i) {
      engines.engines[address(i)] = EngineHealth{true, false, 1, 8};
    }
    configuration.set(listing(engineCount));
    fleet.form(kNodes - 1, 1);
    for (int i = 0; i < kNodes; ++i) {
      startWatch(i);
    }
    fleet.advance(3);
  }
  void startWatch(int index) {
    DirectoryCore& directory = *fleet.cores.at(fleet.id(index));
    HarnessContext& context =
        fleet.harness.context(fleet.id(index).address, ServiceId::EngineWatch);
    EngineProbe* probe = index == kControl ? nullptr : &probes[index];
    watches[index] =
        std::make_unique<EngineWatchCore>(context, directory, directory, configuration, probe);
    fleet.harness.attach(context, *watches[index]);
    contexts[index] = &context;
    watches[index]->start();
  }
  /// The watch of node @p index runs no timer for @p seconds; then its overdue ones are still to
  /// run.
  void standStill(int index, int seconds) {
    const auto timers = std::move(contexts[index]->timers);
    contexts[index]->timers.clear();
    fleet.advance(seconds);
    contexts[index]->timers = timers;
  }
  void kill(int index) {
    fleet.harness.context(fleet.id(index).address, ServiceId::EngineWatch);
    watches.erase(index);
    fleet.kill(index);
  }
  static std::string address(int engine) { return "10.1.0." + std::to_string(engine) + ":80"; }
  static std::string listing(int count) {
    std::string json;
    for (int i = 0; i < count; ++i) {
      json += (i == 0 ? "" : ",") + std::string(R"({"id": "e)") + std::to_string(i) +
              R"(", "address": ")" + address(i) + R"(", "model": "m", "max_running": 8})";
    }
    return R"({"engines": [)" + json + "]}";
  }
  /// Number of nodes that hold @p engine in @p state.
  int countHolding(std::size_t engine, EngineState state) {
    int count = 0;
    for (const auto& watch : watches) {
      count += watch.second->table()->engines.at(engine).state == state ? 1 : 0;
    }
    return count;
  }
  /// The data nodes that probed during the next interval, with the number of their probes.
  std::map<int, int> probesOfOneInterval() {
    for (auto& probe : probes) {
      probe.second.probes = 0;
    }
    fleet.advance(1);
    std::map<int, int> counts;
    for (const auto& probe : probes) {
      counts[probe.first] = probe.second.probes;
    }
    return counts;
  }

  /// All nodes' probes see the same engines unless a test makes one differ.
  struct SharedProbe : EngineProbe {
    void probe(const std::string& address, std::function<void(EngineHealth)> done) override {
      ++probes;
      if (!blind) {
        world->probe(address, std::move(done));
      }
    }
    FakeEngines* world = nullptr;
    bool blind = false;
    int probes = 0;
  };

  TestFleet fleet;
  FixedConfiguration configuration;
  FakeEngines engines;
  std::map<int, SharedProbe> probes = makeProbes();
  std::map<int, std::unique_ptr<EngineWatchCore>> watches;
  std::map<int, HarnessContext*> contexts;

  std::map<int, SharedProbe> makeProbes() {
    std::map<int, SharedProbe> made;
    for (int i = 0; i < kControl; ++i) {
      made[i].world = &engines;
    }
    return made;
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(two_fronts_watch_an_engine_and_all_nodes_know_it) {
  WatchFleet world(1);
  BOOST_TEST(world.countHolding(0, EngineState::Ready) == kNodes);
  BOOST_TEST(world.watches[kControl]->table()->engines[0].running == 1U);
  int watchers = 0;
  for (const auto& probes : world.probesOfOneInterval()) {
    watchers += probes.second;
  }
  BOOST_TEST(watchers == 2);
}

BOOST_AUTO_TEST_CASE(draining_is_known_everywhere_within_two_seconds) {
  WatchFleet world;
  world.engines.engines[world.address(2)].draining = true;
  world.fleet.advance(1);
  BOOST_TEST(world.countHolding(2, EngineState::Draining) == kNodes);
  world.engines.engines[world.address(2)].draining = false;
  world.fleet.advance(2);
  BOOST_TEST(world.countHolding(2, EngineState::Ready) == kNodes);
}

// Each report goes to all nodes, and each costs every node a rebuild of its whole table.
BOOST_AUTO_TEST_CASE(states_that_change_together_are_reported_together) {
  constexpr int kEngines = 40;
  WatchFleet world(kEngines);
  int reports = 0;
  const auto deliver = world.fleet.harness.filter;
  world.fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    reports += envelope.message.service == ServiceId::Directory &&
                       envelope.message.kind == DeltaBatch::kKind
                   ? 1
                   : 0;
    return deliver(envelope);
  };
  for (int i = 0; i < kEngines; ++i) {
    world.engines.engines[world.address(i)].draining = true;
  }
  world.fleet.advance(2);
  BOOST_TEST(world.countHolding(kEngines - 1, EngineState::Draining) == kNodes);
  BOOST_TEST(reports <= 2 * kControl * (kNodes - 1));
}

BOOST_AUTO_TEST_CASE(draining_survives_the_loss_of_every_push) {
  WatchFleet world;
  world.engines.engines[world.address(2)].draining = true;
  const auto deliver = world.fleet.harness.filter;
  world.fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    return envelope.message.kind != DeltaBatch::kKind && deliver(envelope);
  };
  world.fleet.advance(1);
  BOOST_TEST(world.countHolding(2, EngineState::Draining) == 2);
  world.fleet.harness.filter = deliver;
  world.fleet.advance(3);
  BOOST_TEST(world.countHolding(2, EngineState::Draining) == kNodes);
}

BOOST_AUTO_TEST_CASE(an_engine_is_gone_only_when_both_watchers_miss_it) {
  WatchFleet world(1);
  std::vector<int> watchers;
  for (const auto& probes : world.probesOfOneInterval()) {
    if (probes.second > 0) {
      watchers.push_back(probes.first);
    }
  }
  BOOST_REQUIRE(watchers.size() == 2U);
  world.probes[watchers[0]].blind = true;
  world.fleet.advance(5);
  BOOST_TEST(world.countHolding(0, EngineState::Ready) == kNodes);
  world.probes[watchers[1]].blind = true;
  world.fleet.advance(4);
  BOOST_TEST(world.countHolding(0, EngineState::Gone) == kNodes);
  world.probes[watchers[0]].blind = false;
  world.fleet.advance(1);
  BOOST_TEST(world.countHolding(0, EngineState::Ready) == kNodes);
}

BOOST_AUTO_TEST_CASE(a_dead_watcher_is_replaced_and_its_findings_expire) {
  WatchFleet world;
  world.kill(3);
  world.kill(4);
  bool lost = false;
  world.watches[0]->addListener([&](const EngineTable& table) {
    for (const EngineInfo& engine : table.engines) {
      lost = lost || engine.state != EngineState::Ready;
    }
  });
  world.fleet.advance(12);
  BOOST_TEST(!lost);
  for (int engine = 0; engine < 4; ++engine) {
    world.engines.engines[world.address(engine)].draining = true;
  }
  world.fleet.advance(1);
  for (std::size_t engine = 0; engine < 4; ++engine) {
    BOOST_TEST(world.countHolding(engine, EngineState::Draining) == kNodes - 2);
  }
}

namespace {

/// The data nodes that probe engine 0 of a fleet with one engine.
std::vector<int> watchersOf(WatchFleet& world) {
  std::vector<int> watchers;
  for (const auto& probes : world.probesOfOneInterval()) {
    if (probes.second > 0) {
      watchers.push_back(probes.first);
    }
  }
  return watchers;
}

int otherThan(const std::vector<int>& watchers) {
  int other = 0;
  while (std::count(watchers.begin(), watchers.end(), other) != 0) {
    ++other;
  }
  return other;
}

}  // namespace

/// The cut hides the watchers' reports; nobody on the front's side holds them dead yet (chaos 1 of
/// the simulator).
BOOST_AUTO_TEST_CASE(a_front_cut_off_from_the_watchers_learns_in_time_that_an_engine_drains) {
  WatchFleet world(1);
  const std::vector<int> watchers = watchersOf(world);
  const int alone = otherThan(watchers);
  world.fleet.otherSide = {world.fleet.id(alone)};
  world.engines.engines[world.address(0)].draining = true;
  world.fleet.advance(3);
  BOOST_TEST((world.watches[alone]->table()->engines[0].state == EngineState::Draining));
}

/// What it verifies for itself is no news for others.
BOOST_AUTO_TEST_CASE(a_verifying_front_ends_it_when_its_peers_answer_again) {
  WatchFleet world(1);
  const std::vector<int> watchers = watchersOf(world);
  const int alone = otherThan(watchers);
  world.fleet.otherSide = {world.fleet.id(alone)};
  world.fleet.advance(3);
  world.fleet.otherSide.clear();
  world.fleet.advance(20);
  BOOST_TEST(watchersOf(world) == watchers, boost::test_tools::per_element());
  BOOST_TEST(world.countHolding(0, EngineState::Ready) == kNodes);
}

/// A node that stood still does not know how old its table is (chaos 94 of the simulator).
BOOST_AUTO_TEST_CASE(after_a_standstill_the_table_counts_only_once_the_engines_have_answered) {
  WatchFleet world(1);
  EngineWatchCore& watch = *world.watches[0];
  BOOST_TEST((world.fleet.harness.now < watch.freshUntil()));
  world.standStill(0, 5);
  BOOST_TEST((world.fleet.harness.now >= watch.freshUntil()));
  world.engines.engines[world.address(0)].draining = true;
  world.fleet.advance(1);
  BOOST_TEST((world.fleet.harness.now < watch.freshUntil()));
  BOOST_TEST((watch.table()->engines[0].state == EngineState::Draining));
}

BOOST_AUTO_TEST_CASE(a_replaced_engine_inherits_no_state_and_a_bad_listing_changes_nothing) {
  WatchFleet world(1);
  world.configuration.set("{}");
  world.fleet.harness.settle();
  BOOST_TEST(world.countHolding(0, EngineState::Ready) == kNodes);
  world.configuration.set(
      R"({"engines": [{"id": "e0", "address": "10.1.0.9:80", "model": "m", "max_running": 8}]})");
  world.fleet.harness.settle();
  BOOST_TEST(world.countHolding(0, EngineState::Unknown) == kNodes);
  world.engines.engines["10.1.0.9:80"] = EngineHealth{true, true, 0, 8};
  world.fleet.advance(2);
  BOOST_TEST(world.countHolding(0, EngineState::Draining) == kNodes);
}

BOOST_AUTO_TEST_CASE(small_moves_of_running_wait_and_large_ones_do_not) {
  WatchFleet world(1);
  world.fleet.advance(10);
  const auto running = [&] { return world.watches[kControl]->table()->engines[0].running; };
  world.engines.engines[world.address(0)].running = 7;
  world.fleet.advance(3);
  BOOST_TEST(running() == 7U);
  world.engines.engines[world.address(0)].running = 6;
  world.fleet.advance(2);
  BOOST_TEST(running() == 7U);
  world.fleet.advance(6);
  BOOST_TEST(running() == 6U);
}

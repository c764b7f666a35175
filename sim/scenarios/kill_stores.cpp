#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kMinPause = std::chrono::milliseconds(500);
constexpr Duration kMaxPause = std::chrono::seconds(12);
constexpr Duration kMaxOutage = std::chrono::seconds(4);
constexpr int kRounds = 3;
constexpr double kIncludeRegistersProbability = 0.4;

class KillOneStore : public Scenario {
 public:
  const char* name() const override { return "kill-one-store"; }
  void play(ScenarioContext& context) override {
    for (int round = 0; round < kRounds; ++round) {
      context.world.run(context.world.between(kMinPause, kMaxPause));
      const NodeId store =
          context.fleet.stores()[context.world.pick(context.fleet.stores().size())];
      context.fleet.kill(store);
      context.world.run(context.world.between(kMinPause, kMaxPause));
      context.fleet.restart(store);
    }
    context.world.run(kMaxPause);
  }
};

class KillAllStores : public Scenario {
 public:
  const char* name() const override { return "kill-all-stores"; }
  void play(ScenarioContext& context) override {
    for (int round = 0; round < kRounds; ++round) {
      context.world.run(context.world.between(kMinPause, kMaxPause));
      const bool all = context.world.chance() < kIncludeRegistersProbability;
      const std::vector<NodeId> victims = all ? context.fleet.controls() : context.fleet.stores();
      for (const NodeId& id : victims) {
        context.fleet.kill(id);
      }
      for (const NodeId& id : victims) {
        context.world.schedule(context.world.between(kMinPause, kMaxOutage),
                               [&context, id] { context.fleet.restart(id); });
      }
    }
    context.world.run(kMaxPause);
  }
};

}  // namespace

std::unique_ptr<Scenario> makeKillOneStore() {
  return std::make_unique<KillOneStore>();
}

std::unique_ptr<Scenario> makeKillAllStores() {
  return std::make_unique<KillAllStores>();
}

}  // namespace shedshed::sim

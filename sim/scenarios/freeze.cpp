#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kMinPause = std::chrono::milliseconds(500);
constexpr Duration kMaxPause = std::chrono::seconds(8);
constexpr Duration kMinFreeze = std::chrono::seconds(1);
constexpr Duration kMaxFreeze = std::chrono::seconds(30);
constexpr int kRounds = 4;

/// Freezes the nodes returned by @p choose, one every few seconds, each for up to `kMaxFreeze`.
void freezeRepeatedly(ScenarioContext& context, const std::function<NodeId()>& choose) {
  for (int round = 0; round < kRounds; ++round) {
    context.world.run(context.world.between(kMinPause, kMaxPause));
    const NodeId id = choose();
    context.fleet.freeze(id);
    context.world.schedule(context.world.between(kMinFreeze, kMaxFreeze),
                           [&context, id] { context.fleet.unfreeze(id); });
  }
  context.world.run(kMaxFreeze);
}

class FreezeFronts : public Scenario {
 public:
  const char* name() const override { return "freeze-fronts"; }
  void play(ScenarioContext& context) override {
    freezeRepeatedly(context, [&context] { return context.fleet.anyFront(); });
  }
};

class FreezeStores : public Scenario {
 public:
  const char* name() const override { return "freeze-stores"; }
  void play(ScenarioContext& context) override {
    freezeRepeatedly(context, [&context] {
      const std::vector<NodeId> controls = context.fleet.controls();
      return controls[context.world.pick(controls.size())];
    });
  }
};

}  // namespace

std::unique_ptr<Scenario> makeFreezeFronts() {
  return std::make_unique<FreezeFronts>();
}

std::unique_ptr<Scenario> makeFreezeStores() {
  return std::make_unique<FreezeStores>();
}

}  // namespace shedshed::sim

#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kLength = std::chrono::seconds(45);
constexpr Duration kRacingPause = std::chrono::milliseconds(400);
constexpr int kRacingOperators = 6;
constexpr double kLostAnswers = 0.5;
constexpr double kMessageFaults = 0.05;
constexpr Duration kMinOutage = std::chrono::milliseconds(200);
constexpr Duration kMaxOutage = std::chrono::seconds(5);
constexpr int kOutages = 8;

class LostAnswers : public Scenario {
 public:
  const char* name() const override { return "lost-answers"; }
  void prepare(ScenarioContext& context) override {
    context.operators.options().lostAnswers = kLostAnswers;
    NetworkOptions& network = context.world.network();
    network.loss = kMessageFaults;
    network.duplication = kMessageFaults;
    network.lateness = kMessageFaults;
  }
  void play(ScenarioContext& context) override { context.world.run(kLength); }
};

class RacingOperators : public Scenario {
 public:
  const char* name() const override { return "racing-operators"; }
  void prepare(ScenarioContext& context) override {
    context.operators.options().operators = kRacingOperators;
    context.operators.options().pause = kRacingPause;
    context.world.network().loss = kMessageFaults;
  }
  void play(ScenarioContext& context) override {
    const std::vector<NodeId> controls = context.fleet.controls();
    for (int outage = 0; outage < kOutages; ++outage) {
      context.world.run(context.world.between(kMinOutage, kMaxOutage));
      const NodeId& id = controls[context.world.pick(controls.size())];
      context.fleet.kill(id);
      context.world.schedule(context.world.between(kMinOutage, kMaxOutage),
                             [&context, id] { context.fleet.restart(id); });
    }
    context.world.run(kMaxOutage);
  }
};

}  // namespace

std::unique_ptr<Scenario> makeLostAnswers() {
  return std::make_unique<LostAnswers>();
}

std::unique_ptr<Scenario> makeRacingOperators() {
  return std::make_unique<RacingOperators>();
}

}  // namespace shedshed::sim

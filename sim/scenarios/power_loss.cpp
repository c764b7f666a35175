#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kLength = std::chrono::seconds(60);
constexpr Duration kMinOutage = std::chrono::milliseconds(100);
constexpr Duration kMaxOutage = std::chrono::seconds(3);
constexpr double kPowerLossProbability = 0.25;  ///< Per acknowledgement.
constexpr double kAllNodesProbability = 0.5;

class PowerLoss : public Scenario {
 public:
  const char* name() const override { return "power-loss"; }
  void prepare(ScenarioContext& context) override {
    context.fleet.setAcknowledgedHook([this, &context] { acknowledged(context); });
  }
  void play(ScenarioContext& context) override {
    context.world.run(kLength);
    context.fleet.setAcknowledgedHook(nullptr);
  }

 private:
  static void acknowledged(ScenarioContext& context) {
    if (context.world.chance() >= kPowerLossProbability) {
      return;
    }
    const std::vector<NodeId> controls = context.fleet.controls();
    if (context.world.chance() >= kAllNodesProbability) {
      cutPower(context, controls[context.world.pick(controls.size())]);
      return;
    }
    for (const NodeId& id : controls) {
      cutPower(context, id);
    }
  }
  static void cutPower(ScenarioContext& context, const NodeId& id) {
    context.fleet.kill(id);
    context.world.schedule(context.world.between(kMinOutage, kMaxOutage),
                           [&context, id] { context.fleet.restart(id); });
  }
};

}  // namespace

std::unique_ptr<Scenario> makePowerLoss() {
  return std::make_unique<PowerLoss>();
}

}  // namespace shedshed::sim

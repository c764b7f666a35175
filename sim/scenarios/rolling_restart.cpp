#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kFrontPause = std::chrono::seconds(2);
constexpr Duration kControlPause = std::chrono::seconds(6);
constexpr Duration kDrainTimeout = std::chrono::seconds(25);
constexpr Duration kDownTime = std::chrono::milliseconds(500);

class RollingRestart : public Scenario {
 public:
  const char* name() const override { return "rolling-restart"; }
  void play(ScenarioContext& context) override {
    for (const NodeId& id : context.fleet.controls()) {
      context.fleet.control(id)->directory.announceDraining(true);
      restartNode(context, id);
      context.world.run(kControlPause);
    }
    for (const NodeId& id : context.fleet.fronts()) {
      context.fleet.recordFault();
      context.fleet.front(id)->drain();
      context.world.runUntil([&context, id] { return context.fleet.front(id)->idle(); },
                             kDrainTimeout);
      restartNode(context, id);
      context.world.run(kFrontPause);
    }
  }

 private:
  static void restartNode(ScenarioContext& context, const NodeId& id) {
    context.fleet.kill(id);
    context.world.run(kDownTime);
    context.fleet.restart(id);
  }
};

}  // namespace

std::unique_ptr<Scenario> makeRollingRestart() {
  return std::make_unique<RollingRestart>();
}

}  // namespace shedshed::sim

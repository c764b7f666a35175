#include "sim/scenarios/engine_faults.h"
#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kMaxPause = std::chrono::seconds(4);
constexpr Duration kMinOutage = std::chrono::milliseconds(300);
constexpr Duration kMaxOutage = std::chrono::seconds(12);
constexpr Duration kMaxFreeze = std::chrono::seconds(25);
constexpr int kFaults = 30;
constexpr double kMaxMessageFaults = 0.06;
constexpr std::size_t kMaxGroup = 5;

enum class Fault {
  KillControl,
  KillFront,
  KillAllControls,
  FreezeControl,
  FreezeFront,
  Cut,
  Heal,
  Messages,
  Engine,
  Count
};

class Chaos : public Scenario {
 public:
  const char* name() const override { return "chaos"; }
  void prepare(ScenarioContext& context) override { enableFaultyAnswers(context); }
  void play(ScenarioContext& context) override {
    for (int fault = 0; fault < kFaults; ++fault) {
      context.world.run(context.world.between(Duration{0}, kMaxPause));
      injectFault(context,
                  static_cast<Fault>(context.world.pick(static_cast<std::size_t>(Fault::Count))));
    }
    context.world.run(kMaxOutage);
  }

 private:
  static void injectFault(ScenarioContext& context, Fault fault) {
    switch (fault) {
    case Fault::KillControl:
      kill(context, anyControl(context));
      break;
    case Fault::KillFront:
      kill(context, context.fleet.anyFront());
      break;
    case Fault::KillAllControls:
      for (const NodeId& id : context.fleet.controls()) {
        kill(context, id);
      }
      break;
    case Fault::FreezeControl:
      freeze(context, anyControl(context));
      break;
    case Fault::FreezeFront:
      freeze(context, context.fleet.anyFront());
      break;
    case Fault::Cut:
      isolateRandomGroup(context);
      break;
    case Fault::Heal:
      context.fleet.heal();
      break;
    case Fault::Messages:
      injectMessageFaults(context);
      break;
    default:
      injectEngineFault(context);
      break;
    }
  }

  static NodeId anyControl(ScenarioContext& context) {
    const std::vector<NodeId> controls = context.fleet.controls();
    return controls[context.world.pick(controls.size())];
  }
  static void kill(ScenarioContext& context, const NodeId& id) {
    context.fleet.kill(id);
    context.world.schedule(context.world.between(kMinOutage, kMaxOutage),
                           [&context, id] { context.fleet.restart(id); });
  }
  static void freeze(ScenarioContext& context, const NodeId& id) {
    context.fleet.freeze(id);
    context.world.schedule(context.world.between(kMinOutage, kMaxFreeze),
                           [&context, id] { context.fleet.unfreeze(id); });
  }
  static void isolateRandomGroup(ScenarioContext& context) {
    const std::vector<NodeId> all = context.fleet.allNodes();
    std::set<NodeId> group;
    const std::size_t size = 1 + context.world.pick(kMaxGroup);
    while (group.size() < size) {
      group.insert(all[context.world.pick(all.size())]);
    }
    context.fleet.isolate(group);
    context.world.schedule(context.world.between(kMinOutage, kMaxFreeze),
                           [&context] { context.fleet.heal(); });
  }
  static void injectMessageFaults(ScenarioContext& context) {
    context.fleet.recordFault();
    NetworkOptions& network = context.world.network();
    network.loss = kMaxMessageFaults * context.world.chance();
    network.duplication = kMaxMessageFaults * context.world.chance();
    network.lateness = kMaxMessageFaults * context.world.chance();
  }
};

}  // namespace

std::unique_ptr<Scenario> makeChaos() {
  return std::make_unique<Chaos>();
}

}  // namespace shedshed::sim

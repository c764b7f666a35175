#include "sim/scenarios/engine_faults.h"
#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kPause = std::chrono::seconds(3);
constexpr int kRounds = 14;
constexpr double kFaultyAnswerProbability = 0.04;
constexpr Duration kMinFaultDuration = std::chrono::seconds(1);
constexpr Duration kMaxFaultDuration = std::chrono::seconds(15);
constexpr double kSlowdown = 6;

enum class EngineFault { Crash, Freeze, Slow, Drain, Count };

void endFaults(ScenarioContext& context, const std::string& engine) {
  SimEngines& engines = context.fleet.engines();
  engines.restart(engine);
  engines.unfreeze(engine);
  engines.slowDown(engine, 1);
  engines.setDraining(engine, false);
}

class EngineFaults : public Scenario {
 public:
  const char* name() const override { return "engine-faults"; }
  void prepare(ScenarioContext& context) override { enableFaultyAnswers(context); }
  void play(ScenarioContext& context) override {
    for (int round = 0; round < kRounds; ++round) {
      context.world.run(context.world.between(Duration{0}, 2 * kPause));
      injectEngineFault(context);
    }
    context.world.run(kMaxFaultDuration);
  }
};

}  // namespace

void enableFaultyAnswers(ScenarioContext& context) {
  SimEngineOptions& options = context.fleet.engines().options();
  options.mismatched = kFaultyAnswerProbability;
  options.lateAnswer = kFaultyAnswerProbability;
  options.truncated = kFaultyAnswerProbability;
}

void injectEngineFault(ScenarioContext& context) {
  SimEngines& engines = context.fleet.engines();
  const std::vector<std::string> all = engines.addresses();
  const std::string& engine = all[context.world.pick(all.size())];
  switch (
      static_cast<EngineFault>(context.world.pick(static_cast<std::size_t>(EngineFault::Count)))) {
  case EngineFault::Crash:
    engines.crash(engine);
    break;
  case EngineFault::Freeze:
    engines.freeze(engine);
    break;
  case EngineFault::Slow:
    engines.slowDown(engine, kSlowdown);
    break;
  default:
    engines.setDraining(engine, true);
    break;
  }
  context.world.schedule(context.world.between(kMinFaultDuration, kMaxFaultDuration),
                         [&context, engine] { endFaults(context, engine); });
}

std::unique_ptr<Scenario> makeEngineFaults() {
  return std::make_unique<EngineFaults>();
}

}  // namespace shedshed::sim

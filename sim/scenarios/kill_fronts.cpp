#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kMinPause = std::chrono::milliseconds(500);
constexpr Duration kMaxPause = std::chrono::seconds(10);
constexpr int kRounds = 4;
constexpr int kKillsPerRound = 4;

class KillFronts : public Scenario {
 public:
  const char* name() const override { return "kill-fronts"; }
  void play(ScenarioContext& context) override {
    for (int round = 0; round < kRounds; ++round) {
      context.world.run(context.world.between(kMinPause, kMaxPause));
      for (int i = 0; i < kKillsPerRound; ++i) {
        const NodeId id = context.fleet.anyFront();
        context.fleet.kill(id);
        context.world.schedule(context.world.between(kMinPause, kMaxPause),
                               [&context, id] { context.fleet.restart(id); });
      }
    }
    context.world.run(kMaxPause);
  }
};

}  // namespace

std::unique_ptr<Scenario> makeKillFronts() {
  return std::make_unique<KillFronts>();
}

}  // namespace shedshed::sim

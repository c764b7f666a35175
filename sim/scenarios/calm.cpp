#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kLength = std::chrono::seconds(40);

class Calm : public Scenario {
 public:
  const char* name() const override { return "calm"; }
  void play(ScenarioContext& context) override { context.world.run(kLength); }
};

}  // namespace

std::unique_ptr<Scenario> makeCalm() {
  return std::make_unique<Calm>();
}

}  // namespace shedshed::sim

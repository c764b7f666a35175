#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kMinPause = std::chrono::seconds(1);
constexpr Duration kMaxPause = std::chrono::seconds(8);
constexpr Duration kMinCut = std::chrono::seconds(2);
constexpr Duration kMaxCut = std::chrono::seconds(30);
constexpr int kRounds = 2;
constexpr double kIncludeFrontProbability = 0.3;  ///< For each front.
constexpr int kIsolatedControls = 3;

/// Isolates groups of nodes, one after the other.
void isolateGroups(ScenarioContext& context, const std::function<std::set<NodeId>()>& choose) {
  for (int round = 0; round < kRounds; ++round) {
    context.world.run(context.world.between(kMinPause, kMaxPause));
    context.fleet.isolate(choose());
    context.world.run(context.world.between(kMinCut, kMaxCut));
    context.fleet.heal();
  }
  context.world.run(kMaxPause);
}

void addSomeFronts(ScenarioContext& context, std::set<NodeId>& group) {
  for (const NodeId& id : context.fleet.fronts()) {
    if (context.world.chance() < kIncludeFrontProbability) {
      group.insert(id);
    }
  }
}

class CutControl : public Scenario {
 public:
  const char* name() const override { return "cut-control"; }
  void play(ScenarioContext& context) override {
    isolateGroups(context, [&context] {
      const std::vector<NodeId> controls = context.fleet.controls();
      std::set<NodeId> group{controls[context.world.pick(controls.size())]};
      addSomeFronts(context, group);
      return group;
    });
  }
};

class SplitZone : public Scenario {
 public:
  const char* name() const override { return "split-zone"; }
  void play(ScenarioContext& context) override {
    isolateGroups(context, [&context] {
      return context.fleet.zone(static_cast<int>(context.world.pick(kZones)));
    });
  }
};

class SplitHalf : public Scenario {
 public:
  const char* name() const override { return "split-half"; }
  void play(ScenarioContext& context) override {
    isolateGroups(context, [&context] {
      const std::vector<NodeId> controls = context.fleet.controls();
      std::set<NodeId> group;
      while (group.size() < kIsolatedControls) {
        group.insert(controls[context.world.pick(controls.size())]);
      }
      addSomeFronts(context, group);
      return group;
    });
  }
};

}  // namespace

std::unique_ptr<Scenario> makeCutControl() {
  return std::make_unique<CutControl>();
}

std::unique_ptr<Scenario> makeSplitZone() {
  return std::make_unique<SplitZone>();
}

std::unique_ptr<Scenario> makeSplitHalf() {
  return std::make_unique<SplitHalf>();
}

}  // namespace shedshed::sim

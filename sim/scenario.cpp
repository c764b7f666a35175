#include "sim/scenario.h"

#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {

std::vector<std::unique_ptr<Scenario>> allScenarios() {
  std::vector<std::unique_ptr<Scenario>> all;
  all.push_back(makeCalm());
  all.push_back(makeKillOneStore());
  all.push_back(makeKillAllStores());
  all.push_back(makeKillFronts());
  all.push_back(makePowerLoss());
  all.push_back(makeFreezeFronts());
  all.push_back(makeFreezeStores());
  all.push_back(makeCutControl());
  all.push_back(makeSplitZone());
  all.push_back(makeSplitHalf());
  all.push_back(makeLostAnswers());
  all.push_back(makeRacingOperators());
  all.push_back(makeReplaceStores());
  all.push_back(makeRollingRestart());
  all.push_back(makeEngineFaults());
  all.push_back(makeChaos());
  return all;
}

std::unique_ptr<Scenario> makeScenario(const std::string& name) {
  for (std::unique_ptr<Scenario>& scenario : allScenarios()) {
    if (name == scenario->name()) {
      return std::move(scenario);
    }
  }
  return nullptr;
}

}  // namespace shedshed::sim

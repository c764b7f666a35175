#include "sim/simulation.h"

#include <functional>
#include <utility>

namespace shedshed::sim {
namespace {

using SafeguardSwitch = std::pair<const char*, std::function<bool&(Safeguards&)>>;

const std::vector<SafeguardSwitch>& switches() {
  static const std::vector<SafeguardSwitch> all = {
      {"registers.storeIdCheck", [](Safeguards& s) -> bool& { return s.registers.storeIdCheck; }},
      {"registers.persistBeforeAnswer",
       [](Safeguards& s) -> bool& { return s.registers.persistBeforeAnswer; }},
      {"registers.finishBeforeAnswer",
       [](Safeguards& s) -> bool& { return s.registers.finishBeforeAnswer; }},
      {"partitions.fencing", [](Safeguards& s) -> bool& { return s.partitions.fencing; }},
      {"partitions.emptyReplicaRule",
       [](Safeguards& s) -> bool& { return s.partitions.emptyReplicaRule; }},
      {"partitions.mergeWriteBack",
       [](Safeguards& s) -> bool& { return s.partitions.mergeWriteBack; }},
      {"slots.recoveryWindow", [](Safeguards& s) -> bool& { return s.slots.recoveryWindow; }},
      {"slots.awaitDeadHolders", [](Safeguards& s) -> bool& { return s.slots.awaitDeadHolders; }},
      {"slots.grantAfterMajority",
       [](Safeguards& s) -> bool& { return s.slots.grantAfterMajority; }},
      {"slots.confirmRenewals", [](Safeguards& s) -> bool& { return s.slots.confirmRenewals; }},
      {"slots.idempotentTokens", [](Safeguards& s) -> bool& { return s.slots.idempotentTokens; }},
      {"slots.releaseLateGrants", [](Safeguards& s) -> bool& { return s.slots.releaseLateGrants; }},
      {"slots.releaseBeforeRefusal",
       [](Safeguards& s) -> bool& { return s.slots.releaseBeforeRefusal; }},
      {"slots.discardOldGrants", [](Safeguards& s) -> bool& { return s.slots.discardOldGrants; }},
      {"batches.startedBeforeRun",
       [](Safeguards& s) -> bool& { return s.batches.startedBeforeRun; }},
      {"batches.firstResultWins", [](Safeguards& s) -> bool& { return s.batches.firstResultWins; }},
      {"batches.runEpochFence", [](Safeguards& s) -> bool& { return s.batches.runEpochFence; }},
      {"batches.acceptAfterMajority",
       [](Safeguards& s) -> bool& { return s.batches.acceptAfterMajority; }},
      {"batches.confirmNotFound", [](Safeguards& s) -> bool& { return s.batches.confirmNotFound; }},
      {"batches.unknownAfterLostRun",
       [](Safeguards& s) -> bool& { return s.batches.unknownAfterLostRun; }},
      {"batches.cancelStopsStarts",
       [](Safeguards& s) -> bool& { return s.batches.cancelStopsStarts; }},
  };
  return all;
}

}  // namespace

std::vector<std::string> safeguardNames() {
  std::vector<std::string> names;
  for (const SafeguardSwitch& entry : switches()) {
    names.emplace_back(entry.first);
  }
  return names;
}

Status switchOff(Safeguards& safeguards, const std::string& name) {
  for (const SafeguardSwitch& entry : switches()) {
    if (name == entry.first) {
      entry.second(safeguards) = false;
      return okStatus();
    }
  }
  return makeError(ErrorCode::NotFound, "no safeguard " + name);
}

}  // namespace shedshed::sim

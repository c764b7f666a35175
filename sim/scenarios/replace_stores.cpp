#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kShort = std::chrono::seconds(2);
constexpr Duration kLong = std::chrono::seconds(8);
constexpr Duration kResend = std::chrono::seconds(3);
constexpr Duration kReplacementLimit = std::chrono::seconds(60);

/// Loses every one of the first stores with its disk. The next loss follows at the instant at which
/// the repair after the last one is reported done, so that in the end only newcomers hold the data.
class ReplaceStores : public Scenario {
 public:
  const char* name() const override { return "replace-stores"; }
  void play(Stage& stage) override {
    stage.world.run(kLong);
    const std::vector<NodeId> firstStores = stage.fleet.stores();
    for (const NodeId& store : firstStores) {
      stage.fleet.destroy(store);
      stage.world.run(stage.world.between(Duration{0}, kShort));
      if (!replace(stage, store, stage.fleet.addStore())) {
        stage.fleet.traceOwners();
        stage.world.violation("a store can be replaced", store.address);
        return;
      }
    }
    stage.world.run(kLong);
  }

 private:
  static bool replace(Stage& stage, const NodeId& oldId, const NodeId& newId) {
    const auto done = std::make_shared<bool>(false);
    order(stage, oldId, newId, done);
    const auto repaired = [&stage, newId, done] {
      return *done &&
             stage.fleet.control(newId)->store->partitions.repairProgress().replacementComplete();
    };
    const bool result = stage.world.runUntil(repaired, kReplacementLimit);
    const RepairProgress progress = stage.fleet.control(newId)->store->partitions.repairProgress();
    stage.world.trace("newcomer holds " + std::to_string(progress.caughtUp) + " and counts in " +
                      std::to_string(progress.countedAsReplica) + " of " +
                      std::to_string(progress.total) + " partitions");
    return result;
  }

  static void order(Stage& stage, const NodeId& oldId, const NodeId& newId,
                    const std::shared_ptr<bool>& done) {
    if (*done) {
      return;
    }
    const NodeId by = stage.fleet.registers()[stage.world.pick(stage.fleet.registers().size())];
    stage.fleet.replaceStore(by, oldId, newId, [&stage, done](const Result<MemberList>& members) {
      stage.world.trace(std::string("replacement answered ") +
                        (members ? "done"
                                 : members.error().detail + " code " +
                                       std::string(errorTypeName(members.error().code))));
      *done = *done || static_cast<bool>(members);
    });
    stage.world.schedule(kResend,
                         [&stage, oldId, newId, done] { order(stage, oldId, newId, done); });
  }
};

}  // namespace

std::unique_ptr<Scenario> makeReplaceStores() {
  return std::make_unique<ReplaceStores>();
}

}  // namespace shedshed::sim

#include "sim/scenarios/scenarios.h"

namespace shedshed::sim {
namespace {

constexpr Duration kMaxReplacementDelay = std::chrono::seconds(2);
constexpr Duration kSettleTime = std::chrono::seconds(8);
constexpr Duration kResendInterval = std::chrono::seconds(3);
constexpr Duration kReplacementTimeout = std::chrono::seconds(60);

/// Destroys each of the initial stores with its disk. The next store is destroyed as soon as the
/// repair after the previous one is reported complete, so that only replacements hold the data at
/// the end.
class ReplaceStores : public Scenario {
 public:
  const char* name() const override { return "replace-stores"; }
  void play(ScenarioContext& context) override {
    context.world.run(kSettleTime);
    const std::vector<NodeId> firstStores = context.fleet.stores();
    for (const NodeId& store : firstStores) {
      context.fleet.destroy(store);
      context.world.run(context.world.between(Duration{0}, kMaxReplacementDelay));
      if (!replace(context, store, context.fleet.addStore())) {
        context.fleet.traceOwners();
        context.world.violation("a store can be replaced", store.address);
        return;
      }
    }
    context.world.run(kSettleTime);
  }

 private:
  static bool replace(ScenarioContext& context, const NodeId& oldId, const NodeId& newId) {
    const auto done = std::make_shared<bool>(false);
    sendReplacement(context, oldId, newId, done);
    const auto repaired = [&context, newId, done] {
      return *done &&
             context.fleet.control(newId)->store->partitions.repairProgress().replacementComplete();
    };
    const bool result = context.world.runUntil(repaired, kReplacementTimeout);
    const RepairProgress progress =
        context.fleet.control(newId)->store->partitions.repairProgress();
    context.world.trace("replacement store holds " + std::to_string(progress.caughtUp) +
                        " and counts in " + std::to_string(progress.countedAsReplica) + " of " +
                        std::to_string(progress.total) + " partitions");
    return result;
  }

  static void sendReplacement(ScenarioContext& context, const NodeId& oldId, const NodeId& newId,
                              const std::shared_ptr<bool>& done) {
    if (*done) {
      return;
    }
    const NodeId by =
        context.fleet.registers()[context.world.pick(context.fleet.registers().size())];
    context.fleet.replaceStore(
        by, oldId, newId, [&context, done](const Result<MemberList>& members) {
          context.world.trace(std::string("replacement answered ") +
                              (members ? "done"
                                       : members.error().detail + " code " +
                                             std::string(errorTypeName(members.error().code))));
          *done = *done || static_cast<bool>(members);
        });
    context.world.schedule(kResendInterval, [&context, oldId, newId, done] {
      sendReplacement(context, oldId, newId, done);
    });
  }
};

}  // namespace

std::unique_ptr<Scenario> makeReplaceStores() {
  return std::make_unique<ReplaceStores>();
}

}  // namespace shedshed::sim

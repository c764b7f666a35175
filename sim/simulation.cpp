#include "sim/simulation.h"

#include "sim/scenario.h"

namespace shedshed::sim {
namespace {

constexpr double kCallsPerSecond = 15;
constexpr Duration kWarmUp = std::chrono::seconds(5);
/// Time limits for a fleet to recover after its last fault.
constexpr Duration kBatchCompletionTimeout = std::chrono::seconds(150);
constexpr Duration kRecoveryTimeout = std::chrono::seconds(40);
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
constexpr std::size_t kTraceTail = 2000;

/// Checks that the fleet recovers after all faults have ended.
class RecoveryCheck {
 public:
  explicit RecoveryCheck(ScenarioContext& context) : context_(context), world_(context.world) {}

  void check() {
    context_.fleet.healAllFaults();
    context_.live.stop();
    context_.operators.stop();
    checkGrants();
    checkChanges();
    context_.batches.stop();
    checkBatches();
  }

 private:
  /// Checks that a call at each front, for a random tenant, is answered.
  void checkGrants() {
    const auto left = std::make_shared<int>(0);
    const Time end = world_.now() + kRecoveryTimeout;
    for (const NodeId& front : context_.fleet.fronts()) {
      ++*left;
      callUntilAnswered(front, static_cast<int>(world_.pick(kTenants)), left, end);
    }
    if (!world_.runUntil([left] { return *left == 0; }, kRecoveryTimeout)) {
      world_.violation("calls are answered after recovery",
                       std::to_string(*left) + " fronts without an answer");
    }
  }

  void callUntilAnswered(const NodeId& front, int tenant, std::shared_ptr<int> left, Time end) {
    context_.live.callOnce(front, tenant, [this, front, tenant, left, end](bool answered) {
      if (answered) {
        --*left;
      } else if (world_.now() < end) {
        world_.schedule(kRetryInterval, [this, front, tenant, left, end] {
          callUntilAnswered(front, tenant, left, end);
        });
      }
    });
  }

  void checkChanges() {
    const auto done = std::make_shared<bool>(false);
    changeUntilDone(done, world_.now() + kRecoveryTimeout);
    if (!world_.runUntil([done] { return *done; }, kRecoveryTimeout)) {
      world_.violation("settings changes succeed after recovery", "no change was acknowledged");
    }
  }

  void changeUntilDone(std::shared_ptr<bool> done, Time end) {
    context_.operators.changeOnce(context_.fleet.registers()[0], [this, done, end](bool success) {
      *done = *done || success;
      if (!success && world_.now() < end) {
        world_.schedule(kRetryInterval, [this, done, end] { changeUntilDone(done, end); });
      }
    });
  }

  void checkBatches() {
    const BatchLog& log = context_.fleet.invariants().batches;
    const auto complete = [this, &log] {
      return context_.batches.submissionsDone() && log.allComplete();
    };
    if (world_.runUntil(complete, kBatchCompletionTimeout)) {
      return;
    }
    context_.fleet.traceOwners();
    for (const auto& entry : log.batches()) {
      const BatchLog::Batch& batch = entry.second;
      if (!batch.complete()) {
        world_.violation("every batch finishes", entry.first + " " + batch.id + ": " +
                                                     std::to_string(batch.results.size()) + " of " +
                                                     std::to_string(batch.bodies.size()));
      }
    }
  }

  ScenarioContext& context_;
  World& world_;
};

SimulationResult resultOf(const World& world, Time begin) {
  SimulationResult result;
  result.violations = world.violations();
  result.traceHash = world.traceHash();
  result.behaviourHash = world.behaviourHash();
  const auto& lines = world.traceLines();
  const std::size_t skipped = lines.size() > kTraceTail ? lines.size() - kTraceTail : 0;
  result.trace.assign(lines.begin() + static_cast<std::ptrdiff_t>(skipped), lines.end());
  result.simulatedSeconds = std::chrono::duration<double>(world.now() - begin).count();
  result.events = world.eventsRun();
  return result;
}

}  // namespace

Result<SimulationResult> simulate(const SimulationOptions& options) {
  const std::unique_ptr<Scenario> scenario = makeScenario(options.scenario);
  if (!scenario) {
    return makeError(ErrorCode::NotFound, "no scenario " + options.scenario);
  }
  World world(options.seed);
  const Time begin = world.now();
  Invariants invariants(world);
  SimEngines engines(world, invariants.runs);
  SimFleet fleet(world, invariants, engines, options.safeguards);
  OperatorsLoad operators(fleet);
  LiveLoad live(fleet);
  BatchLoad batches(fleet);
  ScenarioContext context{world, fleet, operators, live, batches};
  if (!fleet.start() || !operators.configure()) {
    world.violation("the fleet forms", "not formed or not configured in time");
    return resultOf(world, begin);
  }
  world.run(kWarmUp);
  scenario->prepare(context);
  operators.start();
  live.start(kCallsPerSecond);
  batches.start();
  scenario->play(context);
  RecoveryCheck(context).check();
  SimulationResult result = resultOf(world, begin);
  result.live = live.counts();
  result.batchesAccepted = invariants.batches.batches().size();
  result.changesAcknowledged = invariants.settings.changesAcknowledged();
  return result;
}

}  // namespace shedshed::sim

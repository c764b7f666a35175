#include "slots/lending_core.h"

#include "slots/pool_sizer.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace shedshed {
namespace {

constexpr TimerId kTickTimer = 1;

double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LendingCore::LendingCore(CoreContext& context, PartitionStore& store, const PoolRateSource& rates,
                         const EngineSource& engines, const Directory& directory,
                         LendingOptions options)
    : context_(context), store_(store), rates_(rates), engines_(engines), directory_(directory),
      options_(options) {}

PartitionId LendingCore::partition() {
  return partitionOf(TableKind::Slots, "lending");
}

void LendingCore::start() {
  context_.startTimer(kTickTimer, kLendingTick);
}

void LendingCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<SlotUsageReport>(message,
                                   [&](const SlotUsageReport& typed) { recordUsage(from, typed); });
}

void LendingCore::timerExpired(TimerId) {
  context_.startTimer(kTickTimer, kLendingTick);
  if (!store_.owns(partition())) {
    lent_.clear();
    epoch_ = 0;
    return;
  }
  if (store_.epoch(partition()) != epoch_) {
    epoch_ = store_.epoch(partition());
    lent_.clear();
    limitNumber_ = 0;
  }
  updateLimits();
  announceLimits();
}

/// Reports of one process are numbered; one with a lower number arrived late and is ignored. A new
/// incarnation starts a new sequence.
void LendingCore::recordUsage(const NodeId& from, const SlotUsageReport& report) {
  const auto found = usage_.find(from);
  if (found == usage_.end() || found->second.report.incarnation != report.incarnation) {
    usage_[from] = {report, context_.now(), 0};
    return;
  }
  StoreUsage& known = found->second;
  if (report.number <= known.report.number) {
    return;
  }
  const double elapsed = seconds(context_.now() - known.receivedAt);
  if (elapsed > 0 && report.liveGrants >= known.report.liveGrants) {
    const double grants = static_cast<double>(report.liveGrants - known.report.liveGrants);
    known.arrivalsPerSecond = std::max(known.arrivalsPerSecond, grants / elapsed);
  }
  known.report = report;
  known.receivedAt = context_.now();
}

void LendingCore::updateLimits() {
  const bool complete = usageIsComplete();
  std::set<std::string> models;
  for (const EngineInfo& engine : engines_.table()->engines) {
    models.insert(engine.model);
  }
  std::map<std::string, LendingExplanation> next;
  for (const std::string& model : models) {
    next[model] = computeLimit(model, complete);
  }
  lent_ = std::move(next);
  for (auto& entry : usage_) {
    entry.second.arrivalsPerSecond *= kArrivalDecay;
  }
}

/// Live slots are counted over all models: a tenant's pool does not know which model its calls
/// request, and lending too little is safe.
LendingExplanation LendingCore::computeLimit(const std::string& model, bool complete) const {
  LendingExplanation result;
  result.model = model;
  result.engineCapacity = readyEngineCapacity(*engines_.table(), model);
  result.liveSlots = liveSlots();
  const double share = std::ceil(rates_.batchReserve() * result.engineCapacity);
  const double arriving = std::ceil(arrivalsPerSecond() * seconds(options_.reserveHorizon));
  result.reserve = static_cast<std::uint32_t>(std::max(share, arriving));
  const std::uint32_t taken = result.liveSlots + result.reserve;
  const std::uint32_t idle =
      complete && result.engineCapacity > taken ? result.engineCapacity - taken : 0;
  const auto before = lent_.find(model);
  const std::uint32_t lentBefore = before == lent_.end() ? 0 : before->second.lent;
  const double growth = std::max(1.0, std::floor(result.engineCapacity * options_.growthPerTick));
  result.lent = std::min(idle, lentBefore + static_cast<std::uint32_t>(growth));
  return result;
}

bool LendingCore::usageIsComplete() const {
  for (const NodeId& store : directory_.table()->live(NodeRole::Store)) {
    const auto found = usage_.find(store);
    if (found == usage_.end() || context_.now() - found->second.receivedAt > kUsageReportLifetime) {
      return false;
    }
  }
  return true;
}

std::uint32_t LendingCore::liveSlots() const {
  std::uint32_t total = 0;
  for (const NodeId& store : directory_.table()->live(NodeRole::Store)) {
    const auto found = usage_.find(store);
    total += found == usage_.end() ? 0 : found->second.report.liveSlots;
  }
  return total;
}

double LendingCore::arrivalsPerSecond() const {
  double total = 0;
  for (const auto& entry : usage_) {
    total += entry.second.arrivalsPerSecond;
  }
  return total;
}

/// Confirms ownership first, so that a singleton that was replaced while it was frozen does not
/// announce capacity that its successor has already reclaimed.
void LendingCore::announceLimits() {
  const std::uint64_t epoch = epoch_;
  store_.confirmOwnership(partition(), [this, epoch](Status status) {
    if (status && epoch == epoch_) {
      sendLimits(epoch);
    }
  });
}

void LendingCore::sendLimits(std::uint64_t epoch) {
  for (const auto& entry : lent_) {
    const LendingLimit limit{entry.first, entry.second.lent, epoch, ++limitNumber_};
    for (const NodeId& store : directory_.table()->live(NodeRole::Store)) {
      context_.send(store, limit);
    }
  }
}

}  // namespace shedshed

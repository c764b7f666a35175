#include "slots/slot_owner_core.h"

#include "slots/holder_query.h"

namespace shedshed {
namespace {

constexpr TimerId kTickTimer = 1;

GrantedSlotExplanation explainSlot(std::uint32_t number, const GrantedSlot& slot, Time now) {
  GrantedSlotExplanation explanation;
  explanation.number = number;
  explanation.holder = slot.row.holder;
  explanation.serviceClass = slot.row.claim.serviceClass;
  if (slot.acquiredAt) {
    explanation.age = now - *slot.acquiredAt;
  }
  explanation.expiresIn = slot.expiresAt - now;
  return explanation;
}

}  // namespace

SlotOwnerCore::SlotOwnerCore(CoreContext& context, PartitionStore& store,
                             const PoolRateSource& rates, const EngineSource& engines,
                             const Directory& directory, SlotOwnerOptions options)
    : environment_{context, store, rates, engines, directory, options}, sizer_(rates, engines),
      pools_(environment_), capacity_(environment_, sizer_), recovery_(environment_),
      shares_(environment_, pools_, capacity_, sizer_),
      acquireHandler_(environment_, pools_, recovery_, capacity_, shares_),
      renewHandler_(environment_, pools_, recovery_, capacity_),
      releaseHandler_(environment_, pools_, sizer_), reporter_(environment_, pools_, sizer_) {}

void SlotOwnerCore::start() {
  reporter_.start();
  recovery_.start();
  lastSizeUpdate_ = environment_.context.now();
  sizer_.update(Duration{0});
  environment_.store.setListener(TableKind::Slots, *this);
  environment_.context.startTimer(kTickTimer, kOwnerTick);
}

void SlotOwnerCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<AcquireSlot>(
      message, [&](const AcquireSlot& typed) { acquireHandler_.acquire(from, typed); }) ||
      dispatchMessage<ReleaseSlot>(
          message, [&](const ReleaseSlot& typed) { releaseHandler_.release(from, typed); }) ||
      dispatchMessage<RenewSlots>(
          message, [&](const RenewSlots& typed) { renewHandler_.renew(from, typed); }) ||
      dispatchMessage<HoldTimeReport>(
          message, [&](const HoldTimeReport& typed) { adoptHoldTimes(typed); }) ||
      dispatchMessage<LendingLimit>(
          message, [&](const LendingLimit& typed) { capacity_.applyLendingLimit(typed); });
}

void SlotOwnerCore::timerExpired(TimerId) {
  const Time now = environment_.context.now();
  sizer_.update(now - lastSizeUpdate_);
  lastSizeUpdate_ = now;
  pools_.expireAll();
  queryUnresponsiveHolders(environment_, pools_);
  pools_.releasedTokens().evictExpired(now);
  recovery_.tick();
  reporter_.tick(acquireHandler_.liveGrants());
  environment_.context.startTimer(kTickTimer, kOwnerTick);
}

void SlotOwnerCore::ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                                    RecoveryKind recovery) {
  pools_.load(partition, epoch);
  recovery_.ownershipGained(partition, epoch, recovery);
}

void SlotOwnerCore::ownershipLost(const PartitionId& partition) {
  pools_.unload(partition);
  recovery_.ownershipLost(partition);
}

/// The measurements of this store's own pools are newer than any report.
void SlotOwnerCore::adoptHoldTimes(const HoldTimeReport& report) {
  for (const PoolHoldTime& pool : report.pools) {
    const PoolName name{pool.limiter, pool.key};
    if (pools_.owned(poolPartition(name)) == nullptr) {
      sizer_.adoptHoldTime(name, std::chrono::microseconds(pool.meanHoldMicroseconds));
    }
  }
}

std::vector<PoolExplanation> SlotOwnerCore::explain() const {
  std::vector<PoolExplanation> result;
  for (const auto& [partition, owned] : pools_.partitions()) {
    for (const auto& entry : owned.pools) {
      PoolExplanation explanation = explainPool(entry.second);
      explanation.recovering = recovery_.isOpen(partition);
      explanation.epoch = owned.epoch;
      result.push_back(std::move(explanation));
    }
  }
  return result;
}

PoolExplanation SlotOwnerCore::explainPool(const SlotPool& pool) const {
  PoolExplanation explanation;
  if (pool.name().limiter != kBatchLimiter) {
    explanation.size = sizer_.size(pool.name());
  }
  explanation.size.pool = pool.name();
  explanation.size.size = capacity_.size(pool.name());
  explanation.liveSlots = pool.used(SlotClass::Live);
  explanation.batchSlots = pool.used(SlotClass::BatchItem);
  for (const auto& [number, slot] : pool.slots()) {
    explanation.grantedSlots.push_back(explainSlot(number, slot, environment_.context.now()));
  }
  return explanation;
}

}  // namespace shedshed

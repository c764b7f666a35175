#include "slots/slot_owner_core.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace shedshed {
namespace {

constexpr TimerId kTickTimer = 1;

/// Row number of a key "concurrency:{hash}:{number}"; nullopt if it is malformed.
std::optional<std::uint32_t> rowNumber(std::string_view key) {
  const std::size_t separator = key.rfind(':');
  if (separator == std::string_view::npos || separator + 1 == key.size()) {
    return std::nullopt;
  }
  const std::string digits(key.substr(separator + 1));
  return static_cast<std::uint32_t>(std::strtoul(digits.c_str(), nullptr, 10));
}

GrantedSlotExplanation explainGrant(std::uint32_t number, const GrantedSlot& held, Time now) {
  GrantedSlotExplanation holding;
  holding.number = number;
  holding.holder = held.row.holder;
  holding.serviceClass = held.row.claim.serviceClass;
  if (held.acquiredAt) {
    holding.age = now - *held.acquiredAt;
  }
  holding.expiresIn = held.expiresAt - now;
  return holding;
}

}  // namespace

SlotOwnerCore::SlotOwnerCore(CoreContext& context, PartitionStore& store,
                             const PoolRateSource& rates, const EngineSource& engines,
                             const Directory& directory, SlotOwnerOptions options)
    : context_(context), store_(store), rates_(rates), engines_(engines), directory_(directory),
      options_(options), sizer_(rates, engines) {}

void SlotOwnerCore::start() {
  incarnation_ = context_.random()();
  startedAt_ = context_.now();
  lastUpdate_ = context_.now();
  lastReport_ = context_.now();
  sizer_.update(Duration{0});
  store_.setListener(TableKind::Slots, *this);
  context_.startTimer(kTickTimer, kOwnerTick);
}

void SlotOwnerCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<AcquireSlot>(message, [&](const AcquireSlot& typed) { acquire(from, typed); }) ||
      dispatchMessage<ReleaseSlot>(message,
                                   [&](const ReleaseSlot& typed) { release(from, typed); }) ||
      dispatchMessage<RenewSlots>(message, [&](const RenewSlots& typed) { renew(from, typed); }) ||
      dispatchMessage<HoldTimeReport>(
          message, [&](const HoldTimeReport& typed) { adoptHoldTimes(typed); }) ||
      dispatchMessage<LendingLimit>(message,
                                    [&](const LendingLimit& typed) { adoptLendingLimit(typed); });
}

void SlotOwnerCore::timerExpired(TimerId) {
  const Time now = context_.now();
  sizer_.update(now - lastUpdate_);
  lastUpdate_ = now;
  expireSlots();
  checkHolders();
  forgetReleasedTokens();
  closeRecovered();
  sendRecoveryNotices();
  if (now - lastReport_ >= kReportInterval) {
    lastReport_ = now;
    report();
  }
  context_.startTimer(kTickTimer, kOwnerTick);
}

// ---- Ownership

void SlotOwnerCore::ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                                    RecoveryKind recovery) {
  OwnedPartition& owned = partitions_[partition];
  owned = OwnedPartition{epoch, {}};
  loadTable(partition, owned);
  recovery_.close(partition);
  // A table that was installed after a loss of memory carries the mark, whichever owner reads it.
  const bool marked = store_.get(partition, kRecoveringRow).has_value();
  const bool incomplete = marked || recovery == RecoveryKind::MemoryLost;
  if (!incomplete || !options_.safeguards.recoveryWindow) {
    return;
  }
  recovery_.open(partition, epoch, context_.now(), rates_.longestTimeToLive() + kExpiryMargin,
                 startedAt_ + options_.directorySettle);
  sendRecoveryNotices();
}

void SlotOwnerCore::ownershipLost(const PartitionId& partition) {
  partitions_.erase(partition);
  recovery_.close(partition);
}

void SlotOwnerCore::loadTable(const PartitionId& partition, OwnedPartition& owned) {
  store_.forEach(partition, kSlotRowPrefix, [&](std::string_view key, const std::string& value) {
    loadRow(owned, key, value);
    return true;
  });
}

/// The expiry starts anew in full: the time that passed at the earlier owner is not comparable, and
/// a holder whose renewal that owner confirmed last counts at most one time to live from before
/// this takeover.
void SlotOwnerCore::loadRow(OwnedPartition& owned, std::string_view key, const std::string& value) {
  Result<SlotRow> row = decodeRecord<SlotRow>(value);
  const std::optional<std::uint32_t> number = rowNumber(key);
  if (!row || !number) {
    return;
  }
  GrantedSlot held;
  held.row = std::move(row).value();
  held.expiresAt = expiryOf(held.row.claim);
  held.checkAt = context_.now() + kHolderCheckAge;
  held.acknowledged = true;
  SlotPool& pool = poolOf(owned, held.row.claim.pool());
  pool.put(*number, std::move(held));
}

SlotOwnerCore::OwnedPartition* SlotOwnerCore::owned(const PartitionId& partition) {
  const auto found = partitions_.find(partition);
  if (found == partitions_.end() || !store_.owns(partition)) {
    return nullptr;
  }
  return &found->second;
}

SlotPool& SlotOwnerCore::poolOf(OwnedPartition& owned, const PoolName& name) {
  return owned.pools.try_emplace(poolHash(name), name).first->second;
}

GrantedSlot* SlotOwnerCore::findGrant(const PartitionId& partition, std::uint64_t epoch,
                                      const SlotClaim& claim) {
  OwnedPartition* current = owned(partition);
  if (current == nullptr || current->epoch != epoch) {
    return nullptr;
  }
  GrantedSlot* held = poolOf(*current, claim.pool()).find(claim.number);
  return held != nullptr && held->row.claim.token == claim.token ? held : nullptr;
}

// ---- Sizes

std::uint32_t SlotOwnerCore::lendableCapacity() const {
  std::uint32_t capacity = 0;
  for (const auto& entry : lendingLimits_) {
    capacity += context_.now() <= entry.second.validUntil ? entry.second.size : 0;
  }
  return capacity;
}

/// Items take numbers above those of the tenant's live calls, as many as capacity is lent: a
/// batch then neither keeps a live call from its slot nor waits while engines are idle.
SlotOwnerCore::NumberRange SlotOwnerCore::openNumbers(const PoolName& name,
                                                      SlotClass serviceClass) const {
  const std::uint32_t size = poolSize(name);
  if (serviceClass == SlotClass::Live || name.limiter != kTenantLimiter) {
    return {0, size};
  }
  const std::uint32_t lent = lendableCapacity();
  if (lent == 0) {
    return {0, static_cast<std::uint32_t>(std::ceil(size * kItemShareOfTenantPool))};
  }
  // A tenant without competitors leaves nothing to others by taking less.
  const double share = rates_.tenantPools().size() > 1 ? kItemShareOfLentCapacity : 1.0;
  return {size, static_cast<std::uint32_t>(std::ceil(lent * share))};
}

std::uint32_t SlotOwnerCore::poolSize(const PoolName& name) const {
  if (name.limiter == kQuotaLimiter) {
    return quotaPoolSize(rates_.rate(name));
  }
  if (name.limiter == kServiceLimiter) {
    return std::max(readyEngineCapacity(*engines_.table(), name.key), 1U);
  }
  if (name.limiter != kBatchLimiter) {
    return sizer_.size(name).size;
  }
  const auto lent = lendingLimits_.find(name.key);
  if (lent == lendingLimits_.end() || context_.now() > lent->second.validUntil) {
    return 0;
  }
  return std::min(lent->second.size, readyEngineCapacity(*engines_.table(), name.key));
}

void SlotOwnerCore::adoptHoldTimes(const HoldTimeReport& report) {
  for (const PoolHoldTime& pool : report.pools) {
    const PoolName name{pool.limiter, pool.key};
    if (owned(poolPartition(name)) == nullptr) {
      sizer_.adoptHoldTime(name, std::chrono::microseconds(pool.meanHoldMicroseconds));
    }
  }
}

void SlotOwnerCore::adoptLendingLimit(const LendingLimit& limit) {
  ModelLendingLimit& limitInForce = lendingLimits_[limit.model];
  const auto received = std::make_pair(limit.epoch, limit.number);
  if (received <= std::make_pair(limitInForce.epoch, limitInForce.number)) {
    return;
  }
  limitInForce = {limit.epoch, limit.number, limit.size, context_.now() + kLendingLimitLifetime};
}

std::vector<PoolExplanation> SlotOwnerCore::explain() const {
  std::vector<PoolExplanation> result;
  for (const auto& partition : partitions_) {
    for (const auto& entry : partition.second.pools) {
      const SlotPool& pool = entry.second;
      PoolExplanation explanation;
      if (pool.name().limiter != kBatchLimiter) {
        explanation.size = sizer_.size(pool.name());
      }
      explanation.size.pool = pool.name();
      explanation.size.size = poolSize(pool.name());
      explanation.liveSlots = pool.used(SlotClass::Live);
      explanation.batchSlots = pool.used(SlotClass::BatchItem);
      explanation.recovering = recovery_.isOpen(partition.first);
      explanation.epoch = partition.second.epoch;
      for (const auto& held : pool.numbers()) {
        explanation.grantedSlots.push_back(explainGrant(held.first, held.second, context_.now()));
      }
      result.push_back(explanation);
    }
  }
  return result;
}

// ---- Housekeeping

/// The numbers of a quota expire one after the other at its rate, as a bucket of tokens fills up
/// again. A rate of 0 leaves them their own time to live.
Time SlotOwnerCore::firstExpiry(const SlotPool& pool, const SlotClaim& claim) const {
  const double perSecond = rates_.rate(pool.name()).perSecond;
  if (pool.name().limiter != kQuotaLimiter || perSecond <= 0) {
    return expiryOf(claim);
  }
  const auto interval = std::chrono::duration<double>(1 / perSecond);
  return std::max(context_.now(), pool.latestExpiry()) +
         std::chrono::duration_cast<Duration>(interval);
}

Time SlotOwnerCore::expiryOf(const SlotClaim& claim) const {
  return context_.now() + std::chrono::milliseconds(claim.timeToLiveMilliseconds) + kExpiryMargin;
}

void SlotOwnerCore::expireSlots() {
  for (auto& partition : partitions_) {
    if (!store_.owns(partition.first)) {
      continue;
    }
    for (auto& pool : partition.second.pools) {
      expirePool(partition.first, pool.second);
    }
  }
}

void SlotOwnerCore::expirePool(const PartitionId& partition, SlotPool& pool) {
  std::vector<std::uint32_t> expired;
  for (const auto& held : pool.numbers()) {
    if (held.second.expiresAt <= context_.now()) {
      expired.push_back(held.first);
    }
  }
  std::vector<TableEntry> entries;
  for (const std::uint32_t number : expired) {
    pool.erase(number);
    entries.push_back(erasedRow(pool.name(), number));
    context_.counters().add("slot_expiries_total");
  }
  if (!entries.empty()) {
    store_.write(partition, std::move(entries), [](Status) {});
  }
}

/// A number whose holder was killed would stay taken for its time to live, although the holder is
/// back. Only the holder itself can say that it holds nothing: one that is silent may be frozen.
void SlotOwnerCore::checkHolders() {
  if (!options_.safeguards.queryUnresponsiveHolders) {
    return;
  }
  std::map<NodeId, GrantedSlotsQuery> queries;
  for (auto& partition : partitions_) {
    if (!store_.owns(partition.first)) {
      continue;
    }
    for (auto& pool : partition.second.pools) {
      if (pool.second.name().limiter == kQuotaLimiter) {
        continue;  // These numbers are not given back by anyone.
      }
      for (auto& held : pool.second.numbers()) {
        GrantedSlot& slot = held.second;
        if (slot.acknowledged && slot.checkAt <= context_.now()) {
          slot.checkAt = context_.now() + kHolderCheckRetry;
          queries[slot.row.holder].claims.push_back(slot.row.claim);
        }
      }
    }
  }
  for (const auto& [holder, query] : queries) {
    context_.counters().add("slot_holder_queries_total");
    context_.send(holder, query);
  }
}

void SlotOwnerCore::forgetReleasedTokens() {
  for (auto it = releasedTokens_.begin(); it != releasedTokens_.end();) {
    it = it->second <= context_.now() ? releasedTokens_.erase(it) : std::next(it);
  }
}

/// A node that is held dead may only be frozen or cut off. It then counts on its slots, and its
/// engines work on them, until their time to live has passed.
std::vector<NodeId> SlotOwnerCore::possibleHolders() const {
  const auto table = directory_.table();
  return options_.safeguards.awaitDeadHolders ? table->known(NodeRole::Data)
                                              : table->live(NodeRole::Data);
}

void SlotOwnerCore::closeRecovered() {
  if (recovery_.empty()) {
    return;
  }
  const std::vector<NodeId> holders = possibleHolders();
  for (const PartitionId& closed : recovery_.closeFinished(holders, context_.now())) {
    store_.write(closed, {{kRecoveringRow, std::nullopt}}, [](Status) {});
    context_.logEvent(TraceEvent("SlotRecoveryFinished").field("partition", closed.index));
  }
}

void SlotOwnerCore::sendRecoveryNotices() {
  if (recovery_.empty()) {
    return;
  }
  const std::vector<NodeId> holders = possibleHolders();
  for (const RecoveryWindows::Missing& missing : recovery_.missing(holders)) {
    context_.send(missing.holder, RecoveryNotice{missing.partition, missing.epoch});
  }
}

std::uint32_t SlotOwnerCore::countSlots(SlotClass serviceClass) const {
  std::uint32_t count = 0;
  for (const auto& partition : partitions_) {
    for (const auto& pool : partition.second.pools) {
      const std::string& limiter = pool.second.name().limiter;
      const bool ofService = limiter == kServiceLimiter && serviceClass == SlotClass::Live;
      if (limiter == kTenantLimiter || ofService) {
        count += pool.second.used(serviceClass);
      }
    }
  }
  return count;
}

void SlotOwnerCore::report() {
  SlotUsageReport usage;
  usage.number = ++reportNumber_;
  usage.liveSlots = countSlots(SlotClass::Live);
  usage.batchSlots = countSlots(SlotClass::BatchItem);
  usage.liveGrants = liveGrants_;
  usage.incarnation = incarnation_;
  HoldTimeReport holds;
  for (const auto& partition : partitions_) {
    for (const auto& entry : partition.second.pools) {
      const PoolName& name = entry.second.name();
      const auto hold =
          std::chrono::duration_cast<std::chrono::microseconds>(sizer_.holdTime(name));
      holds.pools.push_back({name.limiter, name.key, hold.count()});
    }
  }
  for (const NodeId& store : directory_.table()->live(NodeRole::Store)) {
    context_.send(store, usage);
    context_.send(store, holds);
  }
}

}  // namespace shedshed

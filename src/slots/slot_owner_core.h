/// @file
/// The owner's side of the numbered slots.
#pragma once

#include "engines/engine_table.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/partition_store.h"
#include "slots/pool_explanation.h"
#include "slots/pool_rates.h"
#include "slots/pool_sizer.h"
#include "slots/recovery_windows.h"
#include "slots/share_allocator.h"
#include "slots/slot_messages.h"
#include "slots/slot_pool.h"
#include "slots/slot_safeguards.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedshed {

/// Interval of the owner's housekeeping: expiry, recovery notices, sizes.
inline constexpr Duration kOwnerTick = std::chrono::milliseconds(250);
/// The owner keeps a slot for this much longer than the holder counts on it. Covers the drift of
/// two monotonic clocks over one time to live.
inline constexpr Duration kExpiryMargin = std::chrono::milliseconds(250);
/// A released token is remembered this long, so that a delayed copy of its acquisition or renewal
/// does not take a slot again.
inline constexpr Duration kReleasedTokenMemory = std::chrono::seconds(30);
/// The holder of a slot that was granted or renewed this long ago is asked whether it still holds
/// it. Most calls are over by then.
inline constexpr Duration kHolderCheckAge = std::chrono::seconds(2);
/// A holder that does not answer is asked again after this time.
inline constexpr Duration kHolderCheckRetry = std::chrono::seconds(1);
/// Interval of the reports to the other stores.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(500);
/// A lending limit that was not repeated for this long counts as 0.
inline constexpr Duration kLendingLimitLifetime = std::chrono::seconds(3);
/// Share of a tenant's numbers that its batch items may take while no room is lent; the rest is for
/// its live calls.
inline constexpr double kItemShareOfTenantPool = 0.75;
/// Share of the lent room that the items of one tenant may take.
inline constexpr double kItemShareOfLentCapacity = 0.5;

struct SlotOwnerOptions {
  SlotSafeguards safeguards;
  Duration directorySettle = kDirectorySettle;  ///< See there.
};

/// Grants, renews, expires and releases the slots of the partitions that this store owns.
///
/// A grant is answered once a majority has its row, so a successor's merge finds every grant that a
/// holder knows of. Whatever is answered without a write first proves with a majority that this
/// node still owns the partition.
class SlotOwnerCore : public Core, public PartitionListener {
 public:
  /// Keeps references to all; they must outlive it.
  SlotOwnerCore(CoreContext& context, PartitionStore& store, const PoolRateSource& rates,
                const EngineSource& engines, const Directory& directory,
                SlotOwnerOptions options = {});

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                       RecoveryKind recovery) override;
  void ownershipLost(const PartitionId& partition) override;

  /// The pools of the owned partitions, for operators.
  std::vector<PoolExplanation> explain() const;

 private:
  struct OwnedPartition {
    std::uint64_t epoch = 0;
    std::map<std::string, SlotPool> pools;  ///< By pool hash.
  };
  struct ModelLendingLimit {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    std::uint32_t size = 0;
    Time validUntil;
  };

  void acquire(const NodeId& from, const AcquireSlot& request);
  void answerRepeatedAcquisition(const NodeId& from, const AcquireSlot& request,
                                 std::uint32_t number);
  void grant(const NodeId& from, const AcquireSlot& request, std::uint32_t number);
  /// The engine for a new holder of @p pool at node @p holder.
  std::string suggestEngine(const SlotPool& pool, const NodeId& holder);
  /// Adds to @p reply what the run that asks should hold.
  void addShare(const AcquireSlot& request, AcquireSlotReply& reply);
  void refuse(const NodeId& from, const AcquireSlot& request, SlotOutcome outcome,
              std::uint32_t poolSize = 0);
  void replyGranted(const NodeId& from, const AcquireSlot& request, std::uint32_t number,
                    std::uint64_t epoch);

  void release(const NodeId& from, const ReleaseSlot& request);
  void replyReleased(const NodeId& from, const OwnerToken& token);

  void renew(const NodeId& from, const RenewSlots& request);
  void renewPartition(const NodeId& from, const PartitionId& partition, std::uint64_t round,
                      const std::vector<SlotClaim>& claims);
  void refuseRenewal(const NodeId& from, const PartitionId& partition, std::uint64_t round,
                     const std::vector<SlotClaim>& claims);
  RenewedSlot renewClaim(const NodeId& from, const SlotClaim& claim, OwnedPartition& owned,
                         std::vector<SlotRow>& rows);
  RenewedSlot reassertClaim(const NodeId& from, const SlotClaim& claim, SlotPool& pool,
                            std::vector<SlotRow>& rows);
  void writeReasserted(const PartitionId& partition, std::uint64_t epoch, std::vector<SlotRow> rows,
                       std::function<void(Status)> answer);

  void adoptHoldTimes(const HoldTimeReport& report);
  void adoptLendingLimit(const LendingLimit& limit);

  void expireSlots();
  void expirePool(const PartitionId& partition, SlotPool& pool);
  /// Asks the holders of slots that were not heard of for `kHolderCheckAge`.
  void checkHolders();
  void forgetReleasedTokens();
  std::vector<NodeId> possibleHolders() const;
  void closeRecovered();
  void sendRecoveryNotices();
  void report();

  OwnedPartition* owned(const PartitionId& partition);
  SlotPool& poolOf(OwnedPartition& owned, const PoolName& name);
  GrantedSlot* findGrant(const PartitionId& partition, std::uint64_t epoch, const SlotClaim& claim);
  std::uint32_t poolSize(const PoolName& name) const;
  /// A range of a pool's numbers.
  struct NumberRange {
    std::uint32_t first = 0;
    std::uint32_t count = 0;
  };
  /// The numbers of the pool that a holder of @p serviceClass may take.
  NumberRange openNumbers(const PoolName& name, SlotClass serviceClass) const;
  /// The room that is lent to batch items, of all models together.
  std::uint32_t lendableCapacity() const;
  void loadTable(const PartitionId& partition, OwnedPartition& owned);
  void loadRow(OwnedPartition& owned, std::string_view key, const std::string& value);
  Time firstExpiry(const SlotPool& pool, const SlotClaim& claim) const;
  Time expiryOf(const SlotClaim& claim) const;
  std::uint32_t countSlots(SlotClass serviceClass) const;

  CoreContext& context_;
  PartitionStore& store_;
  const PoolRateSource& rates_;
  const EngineSource& engines_;
  const Directory& directory_;
  SlotOwnerOptions options_;
  PoolSizer sizer_;
  std::map<PartitionId, OwnedPartition> partitions_;
  RecoveryWindows recovery_;
  std::map<OwnerToken, Time> releasedTokens_;               ///< Until when each is remembered.
  std::map<std::string, ModelLendingLimit> lendingLimits_;  ///< By model.
  std::map<std::string, ShareAllocator> runShares_;         ///< By model, of the owned batch pools.
  Time startedAt_;
  Time lastUpdate_;
  Time lastReport_;
  std::uint64_t liveGrants_ = 0;
  std::uint64_t reportNumber_ = 0;
  std::uint64_t incarnation_ = 0;
};

}  // namespace shedshed

/// @file
/// The singleton that determines how much idle engine capacity is lent to batch items.
#pragma once

#include "engines/engine_table.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/partition_store.h"
#include "slots/pool_explanation.h"
#include "slots/pool_rates.h"
#include "slots/slot_messages.h"

#include <cstdint>
#include <map>
#include <string>

namespace shedshed {

/// Interval at which the lent capacity is computed and announced.
inline constexpr Duration kLendingTick = std::chrono::milliseconds(250);
/// A live store whose report is older than this makes the lent capacity 0: its live slots are
/// unknown.
inline constexpr Duration kUsageReportLifetime = std::chrono::seconds(2);
/// The lent capacity grows by at most this share of the engines' capacity (at least 1) in one tick.
inline constexpr double kLendingGrowthPerTick = 0.025;
/// The reserve covers the live calls that arrive within this time.
inline constexpr Duration kReserveHorizon = std::chrono::seconds(1);
/// Factor by which the estimated rate of live arrivals decays per tick.
inline constexpr double kArrivalDecay = 0.9;

/// Bounds on lending. `growthPerTick` should restore the lent capacity well before the results of a
/// batch are due; `reserveHorizon` should be about the time for which a live call holds its slot.
struct LendingOptions {
  double growthPerTick = kLendingGrowthPerTick;
  Duration reserveHorizon = kReserveHorizon;
};

/// Runs on every store and is active on the owner of the partition named "lending", under that
/// partition's epoch. Lent capacity that is not announced again expires, so a partitioned singleton
/// cannot lend for long.
///
/// N = engine capacity − live slots in use − reserve. N drops immediately and grows slowly.
///
/// No state is durable: a successor starts with no capacity lent and grows it again, and the limits
/// of its higher epoch replace those of its predecessor.
class LendingCore : public Core {
 public:
  /// Keeps references to all; they must outlive it.
  LendingCore(CoreContext& context, PartitionStore& store, const PoolRateSource& rates,
              const EngineSource& engines, const Directory& directory, LendingOptions options = {});

  /// The partition whose owner is the lending singleton.
  static PartitionId partition();

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// The values of the last tick; empty on a node that is not the singleton.
  const std::map<std::string, LendingExplanation>& explain() const { return lent_; }

 private:
  struct StoreUsage {
    SlotUsageReport report;
    Time receivedAt;
    double arrivalsPerSecond = 0;  ///< Rises immediately, decays by `kArrivalDecay`.
  };

  void recordUsage(const NodeId& from, const SlotUsageReport& report);
  void updateLimits();
  LendingExplanation computeLimit(const std::string& model, bool complete) const;
  bool usageIsComplete() const;
  std::uint32_t liveSlots() const;
  double arrivalsPerSecond() const;
  void announceLimits();
  void sendLimits(std::uint64_t epoch);

  CoreContext& context_;
  PartitionStore& store_;
  const PoolRateSource& rates_;
  const EngineSource& engines_;
  const Directory& directory_;
  const LendingOptions options_;
  std::map<NodeId, StoreUsage> usage_;
  std::map<std::string, LendingExplanation> lent_;  ///< By model.
  std::uint64_t epoch_ = 0;
  std::uint64_t limitNumber_ = 0;
};

}  // namespace shedshed

/// @file
/// Limit on the queued tokens of accepted batches, enforced by one node of the fleet.
#pragma once

#include "batch/batch_safeguards.h"
#include "batch/batch_settings.h"
#include "batch/queued_token_table.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/partition_store.h"

#include <set>

namespace shedshed {

/// Interval at which a new owner of the quota repeats its requests for missing reports.
inline constexpr Duration kQuotaRebuildRetry = std::chrono::milliseconds(100);

/// Runs on every store, but is active only on the owner of the partition that the key
/// "waiting-tokens" maps to, under the epoch of that partition.
///
/// The owner of a batch's partition requests a reservation before it writes the commit record, and
/// reports the queued tokens of its partitions several times per second. The quota keeps its counts
/// in memory only: a crash loses them, and the next owner of the quota rebuilds them. Why the limit
/// holds when the ownership of the quota moves:
/// - A new owner grants nothing until the owner of each batch partition has confirmed its ownership
///   and reported its queued tokens. These reports include open reservations.
/// - An old owner confirms its ownership after it has counted a batch and before it grants. A grant
///   that was confirmed before the takeover was requested before it, so that the batch is in the
///   report that the new owner waits for.
/// Core thread only.
class QueuedTokenQuota : public Core {
 public:
  /// Holds references to the arguments, which must outlive this object.
  QueuedTokenQuota(CoreContext& context, PartitionStore& store, ConfigurationSource& configuration,
                   const Directory& directory, BatchSafeguards safeguards = {});

  /// The partition whose owner enforces the limit.
  static PartitionId partition();

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// True if this node owns the quota and has received the reports on all partitions.
  bool isReady() const;
  /// The tokens counted for @p account.
  std::uint64_t queuedTokens(const TokenAccount& account) const {
    return table_.queuedTokens(account);
  }

 private:
  void onReserve(const NodeId& from, const ReserveQueuedTokens& request);
  void onReport(const NodeId& from, const QueuedTokensReport& report);
  /// Starts a rebuild if this node has become the owner. Returns false if it is not the owner.
  bool refreshOwnership();
  /// Requests the missing reports from all stores.
  void requestMissingReports();
  void reply(const NodeId& to, const ReserveQueuedTokens& request, ReserveOutcome outcome);

  CoreContext& context_;
  PartitionStore& store_;
  BatchSettings settings_;
  const Directory& directory_;
  BatchSafeguards safeguards_;
  QueuedTokenTable table_;
  std::uint64_t epoch_ = 0;
  Time rebuildStartedAt_{};
  bool slowRebuildLogged_ = false;    ///< True once the slow rebuild was logged.
  std::set<PartitionId> unreported_;  ///< Partitions without a report in this epoch.
};

}  // namespace shedshed

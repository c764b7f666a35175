/// @file
/// The singleton that limits the queued tokens of accepted batches.
#pragma once

#include "batch/batch_safeguards.h"
#include "batch/batch_settings.h"
#include "batch/queued_token_table.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/partition_store.h"

#include <set>

namespace shedshed {

/// Interval at which a new owner of the quota repeats its queries for missing reports.
inline constexpr Duration kQuotaRebuildRetry = std::chrono::milliseconds(100);

/// Runs on every store; acts on the owner of the partition of the name "waiting-tokens", under that
/// partition's epoch.
///
/// The owner of a batch's partition requests a reservation before it writes the commit record, and
/// reports several times a second what is queued in its partitions. The quota keeps its counts in
/// memory only: a crash loses them, and the next owner of the quota rebuilds them. Why the limit
/// holds when the ownership moves:
/// - A new owner grants nothing before the proved owner of each partition of batches has reported
///   what is queued there. Such a report names open reservations as well.
/// - An old owner proves its ownership after it has counted a batch and before it grants. A grant
///   that was proved before the takeover was requested before it, so that the batch is in the
///   report that the new owner waits for.
/// Core thread only.
class QueuedTokenQuota : public Core {
 public:
  /// Keeps references to all; they must outlive it.
  QueuedTokenQuota(CoreContext& context, PartitionStore& store, ConfigurationSource& configuration,
                   const Directory& directory, BatchSafeguards safeguards = {});

  /// The partition whose owner acts.
  static PartitionId partition();

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  /// True if this node owns the quota and has the reports of all partitions.
  bool isReady() const;
  /// The tokens counted for @p account.
  std::uint64_t queuedTokens(const TokenAccount& account) const {
    return table_.queuedTokens(account);
  }

 private:
  void onReserve(const NodeId& from, const ReserveQueuedTokens& request);
  void onReport(const NodeId& from, const QueuedTokensReport& report);
  /// Starts a rebuild if this node has become the owner since. False if it is not the owner.
  bool refreshOwnership();
  /// Asks all stores for the reports that are missing.
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
  bool slowRebuildLogged_ = false;    ///< That the rebuild is slow.
  std::set<PartitionId> unreported_;  ///< Partitions without a report in this epoch.
};

}  // namespace shedshed

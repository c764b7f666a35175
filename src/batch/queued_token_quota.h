/// @file
/// The singleton that bounds the tokens that wait in accepted batches.
#pragma once

#include "batch/batch_safeguards.h"
#include "batch/batch_settings.h"
#include "batch/queued_token_table.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/partition_store.h"

#include <set>

namespace shedshed {

/// Interval at which a new ledger asks again for what it does not know yet.
inline constexpr Duration kQuotaRebuildRetry = std::chrono::milliseconds(100);

/// Runs on every store; acts on the owner of the partition of the name "waiting-tokens", under that
/// partition's epoch.
///
/// The owner of a batch's partition asks for a reservation before it writes the commit record, and
/// reports several times a second what waits in its partitions. The ledger keeps all of it in
/// memory only. Why the limit holds when it moves:
/// - A new ledger grants nothing before the proved owner of each partition of batches has told it
///   what waits there. Such an owner names the batches that it has asked a reservation for as well.
/// - An old ledger proves its ownership after it has counted a batch and before it says so. A grant
///   that was proved before the new ledger took over was asked for before that, so that the batch
///   is in the answer of its owner.
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

  /// True if this node acts and knows all partitions.
  bool isReady() const;
  /// The tokens counted for @p account.
  std::uint64_t queuedTokens(const TokenAccount& account) const {
    return table_.queuedTokens(account);
  }

 private:
  void onReserve(const NodeId& from, const ReserveQueuedTokens& request);
  void onReport(const NodeId& from, const QueuedTokensReport& report);
  /// Begins anew if this node has become the ledger since. False if it is not the ledger.
  bool acts();
  void queryOwners();
  void reply(const NodeId& to, const ReserveQueuedTokens& request, ReserveOutcome outcome);

  CoreContext& context_;
  PartitionStore& store_;
  BatchSettings settings_;
  const Directory& directory_;
  BatchSafeguards safeguards_;
  QueuedTokenTable table_;
  std::uint64_t epoch_ = 0;
  Time rebuildStartedAt_{};
  bool logged_ = false;               ///< That the rebuild is slow.
  std::set<PartitionId> unreported_;  ///< Partitions whose owner has not answered in this epoch.
};

}  // namespace shedshed

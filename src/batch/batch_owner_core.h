/// @file
/// Owner side of durable batches, on the store nodes.
#pragma once

#include "batch/batch_owner_options.h"
#include "batch/batch_queries.h"
#include "batch/batch_responder.h"
#include "batch/batch_retention.h"
#include "batch/batch_settings.h"
#include "batch/batch_table.h"
#include "batch/batch_uploads.h"
#include "batch/item_lifecycle.h"
#include "batch/item_writer.h"
#include "batch/queued_token_reservations.h"
#include "batch/retrying_writer.h"
#include "batch/run_supervisor.h"
#include "kernel/core.h"

namespace shedshed {

/// Keeps the batches of the partitions that this node owns.
///
/// Dispatches messages, timers and changes of ownership to its parts:
/// - `BatchUploads`: submissions until they are committed; `QueuedTokenReservations` for their
///   share of the quota.
/// - `RunSupervisor`: which node runs a batch. `ItemLifecycle`: start, revert and result of items.
/// - `BatchQueries`: reads and cancels. `BatchRetention`: deletion.
/// - `BatchTable`, `ItemWriter` and `RetryingWriter`: the state that the others share, and the only
///   ways to change rows of a committed batch.
///
/// What is durable before what:
/// - the commit record, on a majority, before a submission is accepted;
/// - the run epoch before the run is announced, in the write that resolves the starts of earlier
///   runs (idempotent items become pending, the others `Unknown`);
/// - `Started` before the runner may call an engine;
/// - the first result of an item before it is acknowledged or read; later ones change nothing.
///
/// A successor fences this node by the epoch of the partition: writes of a fenced owner fail, and
/// what it would answer from memory needs a proof of the ownership first.
/// Core thread only.
class BatchOwnerCore : public Core, public PartitionListener {
 public:
  /// Keeps references; they must outlive it.
  BatchOwnerCore(CoreContext& context, PartitionStore& store, ConfigurationSource& configuration,
                 const Directory& directory, BatchOwnerOptions options = {});
  // The parts refer to each other.
  BatchOwnerCore(const BatchOwnerCore&) = delete;
  BatchOwnerCore& operator=(const BatchOwnerCore&) = delete;

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                       RecoveryKind recovery) override;
  void ownershipLost(const PartitionId& partition) override;

  /// The committed batches of all tenants in the owned partitions, for operators.
  std::vector<BatchStatus> list() const { return queries_.list(); }

  /// Proves the ownership and gives the status of any tenant's batch. Fails with `NotFound`,
  /// `NotOwner` or `NotReady`.
  void statusForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

  /// Cancels any tenant's batch; safe to repeat. @p done is not called if the ownership is lost
  /// meanwhile: the outcome is then unknown.
  void cancelForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

 private:
  static constexpr TimerId kTickTimer = 1;

  /// True if the message is one of a runner, and was handled.
  bool receiveFromRunner(const NodeId& from, const Message& message);
  /// Periodic work of all owned partitions.
  void tick();

  CoreContext& context_;
  PartitionStore& store_;
  BatchSettings settings_;
  BatchOwnerOptions options_;
  BatchTable table_;
  RetryingWriter writer_;
  BatchResponder responder_;
  ItemWriter items_;
  RunSupervisor runs_;
  ItemLifecycle lifecycle_;
  BatchRetention retention_;
  QueuedTokenReservations reservations_;
  BatchUploads uploads_;
  BatchQueries queries_;
};

}  // namespace shedshed

/// @file
/// Owner role of durable batches, on store nodes.
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

/// Manages the batches of the partitions that this node owns.
///
/// Dispatches messages, timers and ownership changes to its components:
/// - `BatchUploads`: submissions until they are committed. `QueuedTokenReservations`: their
///   reservations of the queued-token quota.
/// - `RunSupervisor`: assignment of batches to runners. `ItemLifecycle`: start, revert and result
///   of items.
/// - `BatchQueries`: reads and cancellations. `BatchRetention`: deletion.
/// - `BatchTable`, `ItemWriter` and `RetryingWriter`: the shared state, and the only ways to change
///   rows of a committed batch.
///
/// Durability order:
/// - The commit record is on a majority before a submission is acknowledged.
/// - The run epoch is durable before the run is sent to its runner. The same write resolves the
///   starts of earlier runs: idempotent items become pending, the others `Unknown`.
/// - `Started` is durable before the runner may call an engine.
/// - The first result of an item is durable before it is acknowledged or read. Later results change
///   nothing.
///
/// A successor fences this node with the partition epoch: writes of a fenced owner fail, and it
/// must confirm its ownership before it replies from memory.
/// Core thread only.
class BatchOwnerCore : public Core, public PartitionListener {
 public:
  /// Holds references to the arguments, which must outlive this object.
  BatchOwnerCore(CoreContext& context, PartitionStore& store, ConfigurationSource& configuration,
                 const Directory& directory, BatchOwnerOptions options = {});
  // Not copyable: the components hold references to each other.
  BatchOwnerCore(const BatchOwnerCore&) = delete;
  BatchOwnerCore& operator=(const BatchOwnerCore&) = delete;

  void start() override;
  void receive(const NodeId& from, const Message& message) override;
  void timerExpired(TimerId timer) override;

  void ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                       RecoveryKind recovery) override;
  void ownershipLost(const PartitionId& partition) override;

  /// Returns the committed batches of all tenants in the owned partitions, for operators.
  std::vector<BatchStatus> list() const { return queries_.list(); }

  /// Confirms ownership and passes the status of any tenant's batch to @p done. Fails with
  /// `NotFound`, `NotOwner` or `NotReady`.
  void statusForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

  /// Cancels any tenant's batch; idempotent. @p done is not called if ownership is lost in the
  /// meantime; the outcome is then unknown.
  void cancelForOperator(const std::string& batchId, std::function<void(Result<BatchStatus>)> done);

 private:
  static constexpr TimerId kTickTimer = 1;

  /// Returns true if the message was a runner's and has been handled.
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

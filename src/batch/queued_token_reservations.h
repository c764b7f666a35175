/// @file
/// Client of the queued-token quota, on the owners of batches.
#pragma once

#include "batch/batch_settings.h"
#include "batch/batch_table.h"
#include "batch/queued_token_messages.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"

#include <map>
#include <string>

namespace shedshed {

/// Receives the outcome of reservations.
class ReservationListener {
 public:
  virtual ~ReservationListener() = default;

  /// The tokens of @p batchId are reserved; the batch may be committed.
  virtual void reservationGranted(const PartitionId& partition, const std::string& batchId) = 0;
  /// The batch must not be committed. @p code is `PoolFull` if its tokens exceed the limit, and
  /// `StoreUnavailable` if the quota did not reply in time.
  virtual void reservationRejected(const PartitionId& partition, const std::string& batchId,
                                   ErrorCode code) = 0;
};

/// Requests reservations from `QueuedTokenQuota` and reports the queued tokens of owned partitions.
///
/// A reservation is requested before the commit record is written, so that no accepted batch is
/// unknown to the quota. Only the reply to the latest request is valid, because the quota may
/// reject a repeated request after granting an earlier one. Reports include open reservations, so
/// that a new owner of the quota can rebuild its counts. A crash of this node loses its
/// reservations; the report of the next owner of the partition informs the quota which of the
/// batches exist. Core thread only.
class QueuedTokenReservations {
 public:
  static constexpr TimerId kRetryTimer = 2;   ///< On expiry, call `retry`.
  static constexpr TimerId kReportTimer = 3;  ///< On expiry, call `report`.

  /// Holds references to the arguments, which must outlive this object.
  QueuedTokenReservations(CoreContext& context, PartitionStore& store, const Directory& directory,
                          ConfigurationSource& configuration, const BatchSettings& settings,
                          const BatchTable& table)
      : context_(context), store_(store), locator_(directory, configuration), settings_(settings),
        table_(table) {}

  /// Must be called once before any event; @p listener must outlive this object.
  void setListener(ReservationListener& listener) { listener_ = &listener; }

  /// The ownership of @p partition begins or ends: its reservations are discarded.
  void beginOwnership(const PartitionId& partition) { reservationsByPartition_[partition].clear(); }
  void endOwnership(const PartitionId& partition) { reservationsByPartition_.erase(partition); }

  /// True if there is a limit on the queued tokens of @p route.
  bool isLimited(const std::string& route) const { return settings_.queuedTokenLimit(route) != 0; }

  /// Requests a reservation; the listener is notified of the outcome.
  void reserve(const PartitionId& partition, QueuedBatch batch);
  /// Discards the open reservation of an abandoned submission.
  void cancel(const PartitionId& partition, const std::string& batchId);

  void onReply(const NodeId& from, const ReserveQueuedTokensReply& reply);
  void onRequest(const NodeId& from, const QueuedTokensRequest& request);

  /// Repeats the open reservation requests and rejects those that timed out.
  void retry();
  /// Reports the queued tokens of all owned partitions and starts the timer of the next report.
  void report();

 private:
  struct Reservation {
    QueuedBatch batch;
    std::uint64_t lastNumber = 0;  ///< Sequence number of the latest request.
    Time requestedAt{};
  };
  using Reservations = std::map<std::string, Reservation>;  ///< By batch id.

  /// The presumed owner of the quota; empty if none is known.
  NodeId quotaOwner() const;
  /// Follows the owner hint of a node that does not own the quota. Returns true if the presumed
  /// owner changes.
  bool followHint(const NodeId& from, const NodeId& owner);
  void send(const PartitionId& partition, Reservation& reservation);
  PartitionTokens queuedTokens(const PartitionId& partition, const OwnedBatches& owned) const;
  void answerRequest(const NodeId& to, const PartitionId& partition, std::uint64_t epoch,
                     std::uint64_t quotaEpoch);

  CoreContext& context_;
  PartitionStore& store_;
  OwnerLocator locator_;  ///< Locates the owner of the quota.
  const BatchSettings& settings_;
  const BatchTable& table_;
  ReservationListener* listener_ = nullptr;
  std::map<PartitionId, Reservations> reservationsByPartition_;
  std::uint32_t attempt_ = 0;     ///< Retries since the last reply of the quota.
  std::uint64_t lastNumber_ = 0;  ///< Sequence number of the last message to the quota.
};

}  // namespace shedshed

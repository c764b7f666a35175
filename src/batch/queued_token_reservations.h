/// @file
/// Reservations of queued tokens, on the side of the owners of batches.
#pragma once

#include "batch/batch_settings.h"
#include "batch/batch_table.h"
#include "batch/queued_token_messages.h"
#include "kernel/core.h"
#include "partition/owner_locator.h"

#include <map>
#include <string>

namespace shedshed {

/// Is notified of the outcome of reservations.
class ReservationListener {
 public:
  virtual ~ReservationListener() = default;

  /// The tokens of @p batchId are reserved: it may commit.
  virtual void reservationGranted(const PartitionId& partition, const std::string& batchId) = 0;
  /// The batch must not commit: `PoolFull` if its tokens do not fit, `StoreUnavailable` if the
  /// quota did not answer in time.
  virtual void reservationRejected(const PartitionId& partition, const std::string& batchId,
                                   ErrorCode code) = 0;
};

/// Asks `QueuedTokenQuota` for reservations and reports what is queued in the owned partitions.
///
/// A reservation is requested before the commit record is written, so that no accepted batch is
/// unknown to the quota. Only the reply to the latest request counts: the quota may have rejected
/// an earlier one after granting it. Reports name open reservations as well, which is what lets a
/// new owner of the quota rebuild its counts. A crash of this node forgets its reservations; the
/// next owner's report tells the quota which of the batches exist. Core thread only.
class QueuedTokenReservations {
 public:
  static constexpr TimerId kRetryTimer = 2;   ///< Expires into `retry`.
  static constexpr TimerId kReportTimer = 3;  ///< Expires into `report`.

  /// Keeps references; they must outlive it.
  QueuedTokenReservations(CoreContext& context, PartitionStore& store, const Directory& directory,
                          ConfigurationSource& configuration, const BatchSettings& settings,
                          const BatchTable& table)
      : context_(context), store_(store), locator_(directory, configuration), settings_(settings),
        table_(table) {}

  /// Must be called once before any event; @p listener must outlive this object.
  void setListener(ReservationListener& listener) { listener_ = &listener; }

  /// The ownership of @p partition begins or ends: its reservations are forgotten.
  void beginOwnership(const PartitionId& partition) { reservationsByPartition_[partition].clear(); }
  void endOwnership(const PartitionId& partition) { reservationsByPartition_.erase(partition); }

  /// True if the queued tokens of @p route are limited.
  bool isLimited(const std::string& route) const { return settings_.queuedTokenLimit(route) != 0; }

  /// Requests a reservation; the listener is notified of the outcome.
  void reserve(const PartitionId& partition, QueuedBatch batch);
  /// Forgets an open reservation of a submission that is abandoned.
  void cancel(const PartitionId& partition, const std::string& batchId);

  void onReply(const NodeId& from, const ReserveQueuedTokensReply& reply);
  void onRequest(const NodeId& from, const QueuedTokensRequest& request);

  /// Repeats the open reservations and rejects those whose time is over.
  void retry();
  /// Reports what is queued in all owned partitions; starts the timer of the next report.
  void report();

 private:
  struct Reservation {
    QueuedBatch batch;
    std::uint64_t lastNumber = 0;  ///< Of the last message that requested it.
    Time requestedAt{};
  };
  using Reservations = std::map<std::string, Reservation>;  ///< By batch id.

  /// The node that is believed to own the quota; empty if none is known.
  NodeId quotaOwner() const;
  /// Follows a hint of a node that does not own the quota. True if it names another node.
  bool followHint(const NodeId& from, const NodeId& owner);
  void send(const PartitionId& partition, Reservation& reservation);
  PartitionTokens queuedTokens(const PartitionId& partition, const OwnedBatches& owned) const;
  void answerRequest(const NodeId& to, const PartitionId& partition, std::uint64_t epoch,
                     std::uint64_t quotaEpoch);

  CoreContext& context_;
  PartitionStore& store_;
  OwnerLocator locator_;  ///< Finds the owner of the quota.
  const BatchSettings& settings_;
  const BatchTable& table_;
  ReservationListener* listener_ = nullptr;
  std::map<PartitionId, Reservations> reservationsByPartition_;
  std::uint32_t attempt_ = 0;     ///< Retries without a reply of the quota.
  std::uint64_t lastNumber_ = 0;  ///< Of the messages to the quota.
};

}  // namespace shedshed

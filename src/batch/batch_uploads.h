/// @file
/// Chunked submission of batches.
#pragma once

#include "batch/batch_owner_options.h"
#include "batch/batch_responder.h"
#include "batch/batch_retention.h"
#include "batch/batch_settings.h"
#include "batch/batch_table.h"
#include "batch/batch_upload.h"
#include "batch/queued_token_reservations.h"
#include "batch/run_supervisor.h"

#include <map>
#include <utility>

namespace shedshed {

/// Processes submissions until they are committed or rejected.
///
/// - An upload marker that covers a chunk is written atomically with it, so that a crash during an
///   upload leaves no orphaned rows.
/// - A batch exists once its commit record, written after all of its chunks, is on a majority. The
///   submission is acknowledged only then. The batch id is chosen by the sender or derived from the
///   client key, so that a resent submission maps to the same batch.
/// - A failed commit may have survived on a replica, and the batch may still run. The submission is
///   rejected only once the erasure of the batch is durable.
/// - Rejections are remembered for `rejectionRetention`, so that a delayed duplicate cannot commit.
/// Core thread only.
class BatchUploads : public ReservationListener {
 public:
  /// Holds references to the arguments, which must outlive this object.
  BatchUploads(CoreContext& context, PartitionStore& store, const BatchSettings& settings,
               const BatchOwnerOptions& options, BatchTable& table, BatchRetention& retention,
               QueuedTokenReservations& reservations, RunSupervisor& runs,
               BatchResponder& responder)
      : context_(context), store_(store), settings_(settings), options_(options), table_(table),
        retention_(retention), reservations_(reservations), runs_(runs), responder_(responder) {}

  /// Ownership of @p partition begins or ends: its open submissions are dropped, and their senders
  /// restart at the first chunk.
  void begin(const PartitionId& partition) { partitions_[partition] = Partition(); }
  void drop(const PartitionId& partition) { partitions_.erase(partition); }

  void onSubmit(const NodeId& from, SubmitChunk chunk);

  /// Periodic work: abandons submissions without progress and drops expired rejections.
  void expire(const PartitionId& partition);

  void reservationGranted(const PartitionId& partition, const std::string& batchId) override;
  void reservationRejected(const PartitionId& partition, const std::string& batchId,
                           ErrorCode code) override;

 private:
  /// A submission that was rejected permanently.
  struct Rejection {
    Time at{};
    ErrorCode code = ErrorCode::StorageFull;
  };
  struct Partition {
    std::map<std::string, BatchUpload> uploads;  ///< By batch id.
    /// By sender and number of the request.
    std::map<std::pair<NodeId, std::uint64_t>, Rejection> rejected;
  };

  /// Replies to a chunk for which no upload is needed, because the batch exists or cannot be
  /// accepted now. Returns true if it replied, or will once a commit in flight completes.
  bool answerWithoutUpload(const NodeId& from, const SubmitChunk& chunk,
                           const Partition& partition);
  /// @p resent is true if the batch had been accepted before this submission.
  void answerCommitted(const NodeId& from, const SubmitChunk& chunk, BatchState& batch,
                       bool resent);
  /// Returns the upload of the chunk, created for a first chunk; null if a reply has been sent.
  BatchUpload* uploadFor(const NodeId& from, const SubmitChunk& chunk, Partition& partition);
  /// True if the partition has space for the bodies of the chunk.
  bool hasSpaceFor(const Partition& partition, const SubmitChunk& chunk,
                   const BatchUpload& upload) const;
  void storeChunk(const NodeId& from, SubmitChunk chunk, BatchUpload& upload);
  void chunkWritten(const NodeId& from, RequestId request, const std::string& batchId,
                    std::uint64_t index, const Status& status);
  void reserve(const NodeId& from, SubmitChunk chunk, BatchUpload& upload);
  void commitChunk(const NodeId& from, SubmitChunk chunk, BatchUpload& upload);
  /// Writes the commit record of an upload that is complete and matches its digest.
  void writeCommit(const NodeId& from, SubmitChunk chunk, BatchMeta meta);
  void commitWritten(const NodeId& from, RequestId request, const std::string& batchId,
                     std::uint64_t epoch, const Status& status);
  void committed(const std::string& batchId);
  void abandonUpload(const std::string& batchId, Partition& partition);
  void rejectPermanently(const NodeId& from, RequestId request, ErrorCode code,
                         Partition& partition);

  CoreContext& context_;
  PartitionStore& store_;
  const BatchSettings& settings_;
  const BatchOwnerOptions& options_;
  BatchTable& table_;
  BatchRetention& retention_;
  QueuedTokenReservations& reservations_;
  RunSupervisor& runs_;
  BatchResponder& responder_;
  std::map<PartitionId, Partition> partitions_;
};

}  // namespace shedshed

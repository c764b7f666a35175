/// @file
/// Submissions of batches: chunks, then the commit record.
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

/// Takes submissions until they are committed or rejected.
///
/// - A marker row is durable with the first chunk and covers each chunk before that chunk exists,
///   so that a crash in the middle leaves no orphaned row.
/// - A batch exists once its commit record, written after all of its chunks, is on a majority; the
///   submission is acknowledged only then. The batch id is chosen by the sender or follows from
///   the client key, so that a resend finds the same batch.
/// - A commit that failed may have survived on a replica. It is rejected only once its erasure is
///   durable: until then it may still run.
/// - A rejection is remembered for a time: a duplicate that arrives late must not commit.
/// Core thread only.
class BatchUploads : public ReservationListener {
 public:
  /// Keeps references; they must outlive it.
  BatchUploads(CoreContext& context, PartitionStore& store, const BatchSettings& settings,
               const BatchOwnerOptions& options, BatchTable& table, BatchRetention& retention,
               QueuedTokenReservations& reservations, RunSupervisor& runs,
               BatchResponder& responder)
      : context_(context), store_(store), settings_(settings), options_(options), table_(table),
        retention_(retention), reservations_(reservations), runs_(runs), responder_(responder) {}

  /// The ownership of @p partition begins or ends: its submissions are forgotten, and their senders
  /// start again at the first chunk.
  void begin(const PartitionId& partition) { partitions_[partition] = Partition(); }
  void drop(const PartitionId& partition) { partitions_.erase(partition); }

  void onSubmit(const NodeId& from, SubmitChunk chunk);

  /// Periodic work: abandons submissions without progress, forgets old rejections.
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

  /// Answers a chunk that needs no upload: the batch exists, or cannot be accepted now.
  bool answerWithoutUpload(const NodeId& from, const SubmitChunk& chunk,
                           const Partition& partition);
  /// @p resent tells the caller that the batch had been accepted before this submission.
  void answerCommitted(const NodeId& from, const SubmitChunk& chunk, BatchState& batch,
                       bool resent);
  /// Returns the upload of the chunk, a new one for a first chunk; null if it was answered.
  BatchUpload* uploadFor(const NodeId& from, const SubmitChunk& chunk, Partition& partition);
  /// True if the bodies of the chunk fit into the partition.
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

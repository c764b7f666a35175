/// @file
/// Deletion of finished batches and of submissions that never committed, in bounded steps.
#pragma once

#include "batch/batch_table.h"
#include "batch/retrying_writer.h"

#include <functional>
#include <map>
#include <string>

namespace shedshed {

/// Deletes batches.
///
/// One atomic write erases the commit record and leaves a pending deletion in its place: no
/// reader ever sees a part of a batch. The rows of bodies and items follow in bounded writes, and
/// the last one erases the pending deletion as well. A crash in between leaves a row that a
/// successor finds with `load` and completes. Core thread only.
class BatchRetention {
 public:
  /// Keeps references; they must outlive it. @p retention is how long a finished batch is kept;
  /// one write erases @p maxErasedRowsPerWrite rows at most.
  BatchRetention(CoreContext& context, const PartitionStore& store, BatchTable& table,
                 RetryingWriter& writer, Duration retention, std::uint64_t maxErasedRowsPerWrite)
      : context_(context), store_(store), table_(table), writer_(writer), retention_(retention),
        maxErasedRowsPerWrite_(maxErasedRowsPerWrite) {}

  /// Reads the pending deletions of @p partition, whose ownership begins. An interrupted
  /// submission is one of them: its sender starts again at the first chunk.
  void load(const PartitionId& partition);
  /// Forgets @p partition: another node may own it.
  void drop(const PartitionId& partition) { partitions_.erase(partition); }

  /// True while rows of an earlier batch or submission under @p batchId may exist.
  bool isPending(const std::string& batchId) const;

  /// Deletes a batch, committed or not; @p deleted is called when that is durable.
  void deleteBatch(const PartitionId& partition, const std::string& batchId,
                   std::function<void()> deleted = {});

  /// Deletes the first @p chunks body rows of a submission that will not commit. Its upload marker
  /// is durable with them and stands for the pending deletion.
  void deleteUpload(const PartitionId& partition, const std::string& batchId, std::uint64_t chunks);

  /// Periodic work: deletes the batches whose retention is over, and takes a step of each
  /// pending deletion.
  void expire(const PartitionId& partition);

 private:
  /// Rows being erased in steps.
  struct PendingDeletion {
    PendingDeletionRecord record;
    std::uint64_t erasedChunks = 0;
    std::uint64_t erasedItems = 0;
    bool writing = false;
  };
  using Deletions = std::map<std::string, PendingDeletion>;  ///< By batch id.

  void deleteExpired(const PartitionId& partition);
  void eraseStep(const PartitionId& partition, const std::string& batchId,
                 PendingDeletion& deletion);
  /// The write in flight of a deletion is durable: the next step may follow.
  void stepWritten(const PartitionId& partition, const std::string& batchId);

  CoreContext& context_;
  const PartitionStore& store_;
  BatchTable& table_;
  RetryingWriter& writer_;
  Duration retention_;
  std::uint64_t maxErasedRowsPerWrite_;
  std::map<PartitionId, Deletions> partitions_;
};

}  // namespace shedshed

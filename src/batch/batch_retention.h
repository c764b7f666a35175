/// @file
/// Incremental deletion of finished batches and of submissions that never committed.
#pragma once

#include "batch/batch_table.h"
#include "batch/retrying_writer.h"

#include <functional>
#include <map>
#include <string>

namespace shedshed {

/// Deletes batches.
///
/// One atomic write replaces the commit record with a pending deletion, so that no reader sees a
/// partially deleted batch. The body and item rows are then erased in writes of bounded size, the
/// last of which also erases the pending deletion. After a crash, a successor finds the pending
/// deletion in `load` and completes it. Core thread only.
class BatchRetention {
 public:
  /// Holds references to the arguments, which must outlive this object. Finished batches are kept
  /// for @p retention; one write erases at most @p maxErasedRowsPerWrite rows.
  BatchRetention(CoreContext& context, const PartitionStore& store, BatchTable& table,
                 RetryingWriter& writer, Duration retention, std::uint64_t maxErasedRowsPerWrite)
      : context_(context), store_(store), table_(table), writer_(writer), retention_(retention),
        maxErasedRowsPerWrite_(maxErasedRowsPerWrite) {}

  /// Reads the pending deletions of @p partition when its ownership begins. They include
  /// interrupted submissions, whose senders restart at the first chunk.
  void load(const PartitionId& partition);
  /// Drops the state of @p partition, which another node may own.
  void drop(const PartitionId& partition) { partitions_.erase(partition); }

  /// True while rows of an earlier batch or submission with this id may exist.
  bool isPending(const std::string& batchId) const;

  /// Deletes a batch, committed or not; @p deleted is called once the deletion is durable.
  void deleteBatch(const PartitionId& partition, const std::string& batchId,
                   std::function<void()> deleted = {});

  /// Deletes the first @p chunks body rows of a submission that will not commit. Its upload marker,
  /// written together with them, serves as the pending deletion.
  void deleteUpload(const PartitionId& partition, const std::string& batchId, std::uint64_t chunks);

  /// Periodic work: deletes the batches whose retention has expired, and advances each pending
  /// deletion by one write.
  void expire(const PartitionId& partition);

 private:
  /// A deletion in progress.
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
  /// Called when the write in flight of a deletion is durable; allows the next step.
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

/// @file
/// The batches of the partitions that this node owns, in memory.
#pragma once

#include "batch/batch_state.h"
#include "kernel/core.h"
#include "partition/partition_store.h"

#include <map>
#include <string>

namespace shedshed {

/// The batches of one owned partition.
struct OwnedBatches {
  std::uint64_t epoch = 0;                    ///< Fencing token of the ownership.
  std::map<std::string, BatchState> batches;  ///< By batch id; uncommitted ones included.
  std::uint64_t bodyBytes = 0;                ///< Of `batches`.
};

/// Loads the batches of a partition when its ownership begins, and finds them. All parts of the
/// owner share one table. Core thread only.
///
/// Pointers that it returns are valid until the next event: an end of the ownership removes what
/// they point to.
class BatchTable {
 public:
  /// Keeps references; they must outlive it.
  BatchTable(CoreContext& context, const PartitionStore& store)
      : context_(context), store_(store) {}

  /// Reads the rows of @p partition. They are on a majority before the ownership begins, so that
  /// everything loaded counts as durable.
  void load(const PartitionId& partition, std::uint64_t epoch);
  /// Forgets @p partition: another node may own it.
  void drop(const PartitionId& partition) { partitions_.erase(partition); }

  /// Returns the partition of @p batchId, or null if the store does not own it.
  OwnedBatches* owned(const std::string& batchId);
  /// Returns @p partition if it is still owned at @p epoch, else null.
  OwnedBatches* owned(const PartitionId& partition, std::uint64_t epoch);
  /// Returns the batch, committed or not, or null if it is not known or not owned.
  BatchState* find(const std::string& batchId);

  std::map<PartitionId, OwnedBatches>& partitions() { return partitions_; }
  const std::map<PartitionId, OwnedBatches>& partitions() const { return partitions_; }

 private:
  void loadBatch(const PartitionId& partition, OwnedBatches& owned, const std::string& batchId,
                 const std::string& metaRow);
  void loadItems(const PartitionId& partition, BatchState& batch);
  /// Restores a finished batch from its final row. False if there is none.
  bool loadFinished(const PartitionId& partition, BatchState& batch);

  CoreContext& context_;
  const PartitionStore& store_;
  std::map<PartitionId, OwnedBatches> partitions_;
};

}  // namespace shedshed

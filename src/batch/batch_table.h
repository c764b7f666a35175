/// @file
/// In-memory table of the batches in the partitions that this node owns.
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
  std::map<std::string, BatchState> batches;  ///< By batch id, including uncommitted batches.
  std::uint64_t bodyBytes = 0;                ///< Total of `batches`.
};

/// Loads the batches of a partition when its ownership begins, and looks them up. All parts of the
/// batch owner share one table. Core thread only.
///
/// Returned pointers are valid only until the next event, because a loss of ownership destroys the
/// objects they point to.
class BatchTable {
 public:
  /// Holds references to the arguments, which must outlive this object.
  BatchTable(CoreContext& context, const PartitionStore& store)
      : context_(context), store_(store) {}

  /// Reads the rows of @p partition. The rows are on a majority of replicas before ownership
  /// begins, so everything loaded is durable.
  void load(const PartitionId& partition, std::uint64_t epoch);
  /// Drops the batches of @p partition, which another node may own.
  void drop(const PartitionId& partition) { partitions_.erase(partition); }

  /// Returns the partition of @p batchId, or null if this store does not own it.
  OwnedBatches* owned(const std::string& batchId);
  /// Returns @p partition if it is still owned at @p epoch, else null.
  OwnedBatches* owned(const PartitionId& partition, std::uint64_t epoch);
  /// Returns the batch, committed or not; null if it does not exist or is not owned.
  BatchState* find(const std::string& batchId);

  std::map<PartitionId, OwnedBatches>& partitions() { return partitions_; }
  const std::map<PartitionId, OwnedBatches>& partitions() const { return partitions_; }

 private:
  void loadBatch(const PartitionId& partition, OwnedBatches& owned, const std::string& batchId,
                 const std::string& metaRow);
  void loadItems(const PartitionId& partition, BatchState& batch);
  /// Restores a finished batch from its final row. Returns false if there is no such row.
  bool loadFinished(const PartitionId& partition, BatchState& batch);

  CoreContext& context_;
  const PartitionStore& store_;
  std::map<PartitionId, OwnedBatches> partitions_;
};

}  // namespace shedshed

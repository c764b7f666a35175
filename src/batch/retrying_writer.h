/// @file
/// Writes that are retried until they are durable.
#pragma once

#include "kernel/core.h"
#include "partition/partition_store.h"

#include <functional>
#include <map>
#include <vector>

namespace shedshed {

/// Writes rows of owned partitions until they are durable or the ownership ends.
///
/// For writes whose outcome must not remain unknown: a failed write may have survived on a replica
/// and may be found by a successor. Retrying under the same ownership is safe because the rows have
/// the same values, and writes of a fenced owner never succeed. Core thread only.
class RetryingWriter {
 public:
  /// Holds references to the arguments, which must outlive this object.
  RetryingWriter(CoreContext& context, PartitionStore& store) : context_(context), store_(store) {}

  /// Ownership of @p partition begins at @p epoch. Writes of an earlier ownership are dropped.
  void begin(const PartitionId& partition, std::uint64_t epoch);
  /// Ownership of @p partition ends. Callbacks of its outstanding writes are no longer called.
  void end(const PartitionId& partition) { partitions_.erase(partition); }

  /// Writes @p entries atomically. @p done is called only on success and under the same ownership.
  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void()> done);

  /// Retries the writes of @p partition that have failed since the last call, in order.
  void retryFailed(const PartitionId& partition);

 private:
  struct FailedWrite {
    std::vector<TableEntry> entries;
    std::function<void()> done;
  };
  struct Ownership {
    std::uint64_t epoch = 0;
    std::vector<FailedWrite> failed;
  };

  CoreContext& context_;
  PartitionStore& store_;
  std::map<PartitionId, Ownership> partitions_;
};

}  // namespace shedshed

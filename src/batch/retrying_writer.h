/// @file
/// Writes that are repeated until a majority has them.
#pragma once

#include "kernel/core.h"
#include "partition/partition_store.h"

#include <functional>
#include <map>
#include <vector>

namespace shedshed {

/// Writes rows of owned partitions until they are durable or the ownership ends.
///
/// Right for writes whose outcome must not stay open: a failed write may have survived on a
/// replica, and a successor may find it. Repeating it under the same ownership is safe, since the
/// rows have the same values; a write of a fenced owner never succeeds. Core thread only.
class RetryingWriter {
 public:
  /// Keeps references; they must outlive it.
  RetryingWriter(CoreContext& context, PartitionStore& store) : context_(context), store_(store) {}

  /// The ownership of @p partition at @p epoch begins: writes of an earlier one are forgotten.
  void begin(const PartitionId& partition, std::uint64_t epoch);
  /// The ownership ends: no outstanding write of @p partition calls back any more.
  void end(const PartitionId& partition) { partitions_.erase(partition); }

  /// Writes @p entries in one atomic step. @p done runs on success only, under the same ownership.
  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void()> done);

  /// Repeats the writes of @p partition that have failed since the last call, in their order.
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

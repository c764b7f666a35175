/// @file
/// Writes of item rows, at most one in flight per item.
#pragma once

#include "batch/batch_table.h"
#include "batch/retrying_writer.h"

#include <functional>
#include <map>
#include <optional>

namespace shedshed {

/// New item rows by position. An empty value erases the row: the item is pending and never ran.
using ItemRecords = std::map<std::uint64_t, std::optional<ItemRecord>>;

/// Makes changes to items durable, then applies them to the state of the batch.
///
/// While a write of an item is in flight, `BatchState` still has the previous state, and events for
/// the item are deferred. Whatever is acknowledged to a runner is therefore on a majority, and a
/// successor finds it. Core thread only.
class ItemWriter {
 public:
  /// Holds references to the arguments, which must outlive this object. @p maxErasedRowsPerWrite
  /// limits the body rows that are erased together with the write of the final row.
  ItemWriter(CoreContext& context, const PartitionStore& store, BatchTable& table,
             RetryingWriter& writer, std::uint64_t maxErasedRowsPerWrite)
      : context_(context), store_(store), table_(table), writer_(writer),
        maxErasedRowsPerWrite_(maxErasedRowsPerWrite) {}

  /// Defers @p event until the item's write in flight is durable. Returns false if there is none.
  bool deferWhileWriting(BatchState& batch, std::uint64_t position, std::function<void()> event);

  /// Writes or erases the item's row, then applies the change to the state and calls @p done.
  void writeItem(BatchState& batch, std::uint64_t position, std::optional<ItemRecord> record,
                 std::function<void()> done);

  /// Writes the rows of several items together with @p entries in one atomic write.
  void writeItems(BatchState& batch, std::vector<TableEntry> entries, ItemRecords records,
                  std::function<void(BatchState&)> done);

  /// Makes a started item pending again. From now on, delayed duplicates of starts up to @p attempt
  /// are rejected. @p mayHaveRun is true if the attempt may have reached an engine.
  void revertAttempt(BatchState& batch, std::uint64_t position, std::uint64_t attempt,
                     bool mayHaveRun, std::function<void()> done);

  /// Returns the row of a pending item; empty if no attempt may have run.
  static std::optional<ItemRecord> pendingRecord(bool mayHaveRun);

  /// Writes new ranks for the results that lost theirs in a takeover.
  void reassignRanks(BatchState& batch);

  /// Writes the final row once every item has a durable final state and no write is in flight.
  void finishIfDone(BatchState& batch);

 private:
  /// Assigns the next rank to a final result, if the batch lists results by completion.
  static void assignRank(BatchState& batch, std::optional<ItemRecord>& record);
  /// Ends the write of an item and returns the events that were deferred by it.
  static std::vector<std::function<void()>> takeWaiters(BatchState& batch, std::uint64_t position);

  CoreContext& context_;
  const PartitionStore& store_;
  BatchTable& table_;
  RetryingWriter& writer_;
  std::uint64_t maxErasedRowsPerWrite_;
};

}  // namespace shedshed

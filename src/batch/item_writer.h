/// @file
/// Writes of item rows, one at a time per item.
#pragma once

#include "batch/batch_table.h"
#include "batch/retrying_writer.h"

#include <functional>
#include <map>
#include <optional>

namespace shedshed {

/// New rows of items by position; no value erases the row: the item is pending and never ran.
using ItemRecords = std::map<std::uint64_t, std::optional<ItemRecord>>;

/// Makes changes of items durable, then applies them to the batch's state.
///
/// While a write of an item is in flight nothing is answered from it: `BatchState` shows the state
/// before, and events on the item are postponed. So what a runner is acknowledged is on a majority,
/// and a successor finds at least that. Core thread only.
class ItemWriter {
 public:
  /// Keeps references; they must outlive it. @p maxErasedRowsPerWrite bounds the body rows that the
  /// write of a finished batch erases.
  ItemWriter(CoreContext& context, const PartitionStore& store, BatchTable& table,
             RetryingWriter& writer, std::uint64_t maxErasedRowsPerWrite)
      : context_(context), store_(store), table_(table), writer_(writer),
        maxErasedRowsPerWrite_(maxErasedRowsPerWrite) {}

  /// Postpones @p event until the item's write in flight is durable; false if there is none.
  bool deferWhileWriting(BatchState& batch, std::uint64_t position, std::function<void()> event);

  /// Writes the item's row, or erases it, then changes the state and calls @p done.
  void writeItem(BatchState& batch, std::uint64_t position, std::optional<ItemRecord> record,
                 std::function<void()> done);

  /// Writes the rows of several items together with @p entries in one atomic step.
  void writeItems(BatchState& batch, std::vector<TableEntry> entries, ItemRecords records,
                  std::function<void(BatchState&)> done);

  /// Makes a started item pending again. A late duplicate of the start of @p attempt or of an
  /// earlier one is rejected from now on. @p mayHaveRun: the attempt may have reached an engine.
  void revertAttempt(BatchState& batch, std::uint64_t position, std::uint64_t attempt,
                     bool mayHaveRun, std::function<void()> done);

  /// Returns the row of a pending item: none if it never ran.
  static std::optional<ItemRecord> pendingRecord(bool mayHaveRun);

  /// Writes the results that lost their ranks in a takeover under new ones.
  void reassignRanks(BatchState& batch);

  /// Writes the final row once every item has a durable final state and no write is in flight.
  void finishIfDone(BatchState& batch);

 private:
  /// Gives a final result the next rank.
  static void assignRank(BatchState& batch, std::optional<ItemRecord>& record);
  /// Ends the write of an item; returns the events that waited for it.
  static std::vector<std::function<void()>> takeWaiters(BatchState& batch, std::uint64_t position);

  CoreContext& context_;
  const PartitionStore& store_;
  BatchTable& table_;
  RetryingWriter& writer_;
  std::uint64_t maxErasedRowsPerWrite_;
};

}  // namespace shedshed

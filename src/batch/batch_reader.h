/// @file
/// Pages of results and unfinished items.
#pragma once

#include "batch/batch_state.h"
#include "partition/partition_store.h"

namespace shedshed {

/// Reads the rows of a batch that this node owns, without side effects. Core thread only.
class BatchReader {
 public:
  /// Holds a reference to @p store, which must outlive this object. @p maxPageBytes limits the body
  /// bytes of a page.
  BatchReader(const PartitionStore& store, std::uint32_t maxPageItems, std::uint64_t maxPageBytes)
      : store_(store), maxPageItems_(maxPageItems), maxPageBytes_(maxPageBytes) {}

  /// Returns results starting at @p from, without gaps: by position, or in completion order if the
  /// items of the batch are named.
  ResultPage resultPage(const BatchState& batch, std::uint64_t from, std::uint32_t limit) const;

  /// Returns the items without a final state, starting at position @p from.
  std::vector<UnfinishedItem> unfinishedItems(const BatchState& batch, std::uint64_t from,
                                              std::uint32_t limit) const;

 private:
  /// Returns false if the item has no final result or its row cannot be decoded.
  bool readResult(const BatchState& batch, std::uint64_t position, ItemResult& result) const;

  const PartitionStore& store_;
  std::uint32_t maxPageItems_;
  std::uint64_t maxPageBytes_;
};

}  // namespace shedshed

/// @file
/// Pages of results and of unfinished items.
#pragma once

#include "batch/batch_state.h"
#include "partition/partition_store.h"

namespace shedshed {

/// Reads the rows of a batch that this node owns. Changes nothing; core thread only.
class BatchReader {
 public:
  /// Keeps a reference; it must outlive the reader. @p maxPageBytes bounds the bodies of a page.
  BatchReader(const PartitionStore& store, std::uint32_t maxPageItems, std::uint64_t maxPageBytes)
      : store_(store), maxPageItems_(maxPageItems), maxPageBytes_(maxPageBytes) {}

  /// Returns results from @p from on, without gaps; by position, or in the order of completion if
  /// the batch's items have names.
  ResultPage resultPage(const BatchState& batch, std::uint64_t from, std::uint32_t limit) const;

  /// Returns the items without a final state from position @p from on.
  std::vector<UnfinishedItem> unfinishedItems(const BatchState& batch, std::uint64_t from,
                                              std::uint32_t limit) const;

 private:
  /// False if the item has no final result, or its row cannot be read.
  bool readResult(const BatchState& batch, std::uint64_t position, ItemResult& result) const;

  const PartitionStore& store_;
  std::uint32_t maxPageItems_;
  std::uint64_t maxPageBytes_;
};

}  // namespace shedshed

/// @file
/// Queued tokens of all accepted batches of the fleet, by partition.
#pragma once

#include "batch/queued_token_messages.h"

#include <map>

namespace shedshed {

/// The counts of the quota. A report replaces the entries of a partition, except for reservations
/// that are newer than the report. Core thread only.
class QueuedTokenTable {
 public:
  void clear() { partitions_.clear(); }

  /// Applies the report with sequence number @p number. A report of an older epoch, or one of the
  /// same epoch without a higher number, is ignored.
  /// @return false if the report was ignored
  bool applyReport(const PartitionTokens& report, std::uint64_t number);

  /// Counts the batch of @p request if the total stays within @p limit (0: no limit). Otherwise the
  /// batch is removed, even if an earlier request was granted: its owner accepts only the reply to
  /// its latest request.
  /// @return `NotReady` if the sender's epoch is older than a known one
  ReserveOutcome reserve(const ReserveQueuedTokens& request, std::uint64_t limit);

  /// The tokens counted for @p account.
  std::uint64_t queuedTokens(const TokenAccount& account) const;

 private:
  struct Entry {
    QueuedBatch batch;
    /// Sequence number of the last report or reservation that counted the batch.
    std::uint64_t number = 0;
  };
  struct Partition {
    std::uint64_t epoch = 0;
    std::uint64_t lastReport = 0;
    std::map<std::string, Entry> batches;  ///< By batch id.
  };

  std::map<PartitionId, Partition> partitions_;
};

}  // namespace shedshed

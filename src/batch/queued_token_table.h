/// @file
/// The queued tokens of all accepted batches of the fleet, by partition.
#pragma once

#include "batch/queued_token_messages.h"

#include <map>

namespace shedshed {

/// The counts of the quota. A report replaces what was known of a partition; reservations that are
/// younger than the report stay. Core thread only.
class QueuedTokenTable {
 public:
  /// Forgets everything.
  void clear() { partitions_.clear(); }

  /// Takes a report numbered @p number. One of an older epoch, or an older one of the same epoch,
  /// is ignored.
  /// @return false if it was ignored
  bool applyReport(const PartitionTokens& report, std::uint64_t number);

  /// Counts the batch of @p request if it then fits under @p limit (0: no limit), and not at all if
  /// it does not: its owner takes only the answer to its latest request for a grant.
  /// @return `NotReady` if the sender's epoch is older than a known one
  ReserveOutcome reserve(const ReserveQueuedTokens& request, std::uint64_t limit);

  /// The tokens counted for @p account.
  std::uint64_t queuedTokens(const TokenAccount& account) const;

 private:
  struct Entry {
    QueuedBatch batch;
    std::uint64_t number = 0;  ///< Of the report or the reservation that counted it last.
  };
  struct Partition {
    std::uint64_t epoch = 0;
    std::uint64_t lastReport = 0;
    std::map<std::string, Entry> batches;  ///< By batch id.
  };

  std::map<PartitionId, Partition> partitions_;
};

}  // namespace shedshed

/// @file
/// Keys that the recent writes of one epoch changed.
#pragma once

#include "partition/partition_table.h"

#include <deque>

namespace shedshed {

/// Lets an owner retransmit past writes without keeping their values: the present rows of their
/// keys are sent, which hold that write or a later one. Core thread only.
class WriteLog {
 public:
  /// Number of past writes whose keys are kept for replicas that fall behind. A replica that is
  /// further behind gets the whole table.
  static constexpr std::size_t kMaxEntries = 4096;

  /// Begins at sequence 0 with the merged table, whose checksum is @p baseChecksum.
  explicit WriteLog(std::uint64_t baseChecksum) : baseChecksum_(baseChecksum) {}

  /// Adds the next write. @p checksum is that of the table after it.
  void append(std::vector<std::string> keys, std::uint64_t checksum);

  /// The last write's sequence; 0 before the first.
  std::uint64_t sequence() const { return first_ + writes_.size() - 1; }

  /// True if all writes after @p sequence are still in the log.
  bool reaches(std::uint64_t sequence) const { return sequence + 1 >= first_; }

  /// The table's checksum right after write @p sequence, if still in the log.
  std::optional<std::uint64_t> checksumAt(std::uint64_t sequence) const;

  /// Returns the writes after @p sequence with rows of @p table, up to
  /// `PartitionTable::kMaxPageBytes`.
  std::vector<std::vector<VersionedRow>> writesAfter(std::uint64_t sequence,
                                                     const PartitionTable& table) const;

  /// Drops the oldest writes beyond `kMaxEntries`, but none after @p needed.
  void trim(std::uint64_t needed);

 private:
  struct Write {
    std::vector<std::string> keys;
    std::uint64_t checksum;
  };
  std::uint64_t baseChecksum_;
  std::uint64_t first_ = 1;
  std::deque<Write> writes_;
};

}  // namespace shedshed

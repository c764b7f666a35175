/// @file
/// Position of a replica in the transfer of its owner's table.
#pragma once

#include "partition/partition_messages.h"

#include <cstdint>
#include <string>

namespace shedshed {

/// The position of a replica in the newest transfer. Pages may be lost, delayed or repeated:
/// a page is applied only if it begins where the last one ended, and pages of an older transfer are
/// ignored. Kept in memory only. Core thread only.
class IncomingTransfer {
 public:
  /// Switches to the transfer of @p request if it is newer than the current one. Returns false if
  /// it is older.
  bool beginOrContinue(const InstallRequest& request);

  /// True if @p page is the next one.
  bool isNext(const TablePage& page) const;

  /// Records that @p page was applied.
  void advance(const TablePage& page);

  bool isComplete() const { return complete_; }

  /// Key through which the table has been applied.
  const std::string& throughKey() const { return throughKey_; }

 private:
  std::uint64_t epoch_ = 0;
  std::uint64_t number_ = 0;
  bool atStart_ = true;
  bool complete_ = false;
  std::string throughKey_;
};

}  // namespace shedshed

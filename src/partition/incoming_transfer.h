/// @file
/// How far a replica has applied the table that its owner transfers.
#pragma once

#include "partition/partition_messages.h"

#include <cstdint>
#include <string>

namespace shedshed {

/// The position of a replica in the newest transfer. Pages may be lost, late or repeated: a page
/// counts only if it begins where the last one ended, and a page of an older transfer not at all.
/// Kept in memory only. Core thread only.
class IncomingTransfer {
 public:
  /// Turns to the transfer of @p request if it is newer. False if it is older than the present one.
  bool beginOrContinue(const InstallRequest& request);

  /// True if @p page is the next one.
  bool isNext(const TablePage& page) const;

  /// @p page was applied.
  void advance(const TablePage& page);

  bool isComplete() const { return complete_; }

  /// Key up to which the table was applied.
  const std::string& throughKey() const { return throughKey_; }

 private:
  std::uint64_t epoch_ = 0;
  std::uint64_t number_ = 0;
  bool atStart_ = true;
  bool complete_ = false;
  std::string throughKey_;
};

}  // namespace shedshed

/// @file
/// A durable record store as its writer sees it.
#pragma once

#include "kernel/core.h"

#include <vector>

namespace shedshed {

/// Records that survive once synced. Implemented by `LogStructuredStore`. `append` and `sync` are
/// called by one thread; the reading methods by any.
class DurableRecords : public RecordReader {
 public:
  /// Appends one atomic group, visible to `read` at once.
  virtual Status append(const std::vector<Mutation>& mutations) = 0;

  /// Makes all that was appended before durable.
  virtual Status sync() = 0;
};

}  // namespace shedshed

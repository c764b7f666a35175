/// @file
/// Write interface of a durable record store.
#pragma once

#include "kernel/core.h"

#include <vector>

namespace shedshed {

/// Records that survive a crash once they are synced. Implemented by `LogStructuredStore`. `append`
/// and `sync` must be called from a single thread; the read methods may be called from any thread.
class DurableRecords : public RecordReader {
 public:
  /// Appends one atomic group of mutations, which is immediately visible to `read`.
  virtual Status append(const std::vector<Mutation>& mutations) = 0;

  /// Makes all previously appended groups durable.
  virtual Status sync() = 0;
};

}  // namespace shedshed

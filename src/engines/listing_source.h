/// @file
/// Interface to the platform's listing of engines.
#pragma once

#include "engines/engine_table.h"
#include "kernel/error.h"

#include <functional>
#include <vector>

namespace shedshed {

/// Reads the complete listing from the platform. Core thread only.
class ListingSource {
 public:
  virtual ~ListingSource() = default;

  /// Reads all engines; each is `Ready` or `Draining`. @p done is called once, on the core thread.
  virtual void read(std::function<void(Result<std::vector<EngineInfo>>)> done) = 0;
};

}  // namespace shedshed

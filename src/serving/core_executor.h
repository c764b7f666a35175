/// @file
/// Interface through which the serving threads post tasks to the core thread.
#pragma once

#include "kernel/time.h"

#include <functional>

namespace shedshed {

/// Runs tasks on the thread that runs the node's cores. Thread-safe.
class CoreExecutor {
 public:
  virtual ~CoreExecutor() = default;

  /// Queues @p task to run once on the core thread. On the core thread itself the task runs after
  /// this call has returned; on other threads it may run earlier.
  virtual void post(std::function<void()> task) = 0;

  /// Returns the current time of the clock that the cores use.
  virtual Time now() const = 0;
};

}  // namespace shedshed

/// @file
/// What hosts cores: the runtime of a daemon, or a node of the simulator.
#pragma once

#include "kernel/core.h"

namespace shedshed {

/// Gives each core its context and delivers events to it. Core thread only.
class CoreHost {
 public:
  virtual ~CoreHost() = default;

  /// The context of @p service on this node; the same object at each call. Owned by the host.
  virtual CoreContext& context(ServiceId service) = 0;

  /// Attaches the core that receives the messages, timers and persist completions of @p service.
  /// Does not own it.
  virtual void attach(ServiceId service, Core& core) = 0;
};

}  // namespace shedshed

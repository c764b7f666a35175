/// @file
/// Forwards the changes of other nodes in a large fleet.
#pragma once

#include "kernel/core.h"
#include "membership/directory_options.h"
#include "membership/membership_messages.h"

#include <vector>

namespace shedshed {

/// Collects deltas and sends them to random peers in one message, at most one message per
/// `forwardDelay`. Not thread-safe.
class GossipForwarder {
 public:
  /// @p timer is a timer of the owning core, which calls `flush` when it expires. @p context must
  /// outlive the forwarder.
  GossipForwarder(CoreContext& context, const DirectoryOptions& options, TimerId timer);

  /// Schedules @p delta for forwarding: at once, or when the current delay has passed.
  void enqueue(const GossipDelta& delta);

  /// Sends the pending deltas to `forwardFanout` random nodes of @p peers and starts the next
  /// delay. Does not restart the timer if nothing is pending.
  void flush(const std::vector<NodeId>& peers);

 private:
  CoreContext& context_;
  const DirectoryOptions options_;
  const TimerId timer_;
  std::vector<GossipDelta> pending_;
  bool timerRunning_ = false;
};

}  // namespace shedshed

/// @file
/// Logs takeovers that take long.
#pragma once

#include "kernel/core.h"
#include "partition/partition_store.h"

#include <functional>
#include <optional>
#include <string>

namespace shedshed {

/// Logs `TakeoverSlow` once when a node's takeover of one partition has taken
/// `kSlowTakeoverThreshold`, and how it ended: `TakeoverFinished` or `TakeoverAbandoned`. Core
/// thread only.
class SlowTakeoverMonitor {
 public:
  /// A takeover that takes longer is logged.
  static constexpr Duration kSlowTakeoverThreshold = std::chrono::seconds(2);

  /// Keeps a reference to @p context.
  SlowTakeoverMonitor(CoreContext& context, const PartitionId& partition);

  /// To be called while the node takes the partition over at @p epoch and does not serve yet.
  /// @p progress describes the state of the takeover for the log event.
  void takeoverInProgress(std::uint64_t epoch, const std::function<std::string()>& progress);

  /// To be called while no takeover is in progress: the node serves the partition (@p serves) or
  /// follows another owner.
  void noTakeoverInProgress(std::uint64_t epoch, bool serves);

 private:
  CoreContext& context_;
  const std::string partition_;  ///< Name of the partition in the log.
  std::optional<Time> inProgressSince_;
  bool logged_ = false;
};

}  // namespace shedshed

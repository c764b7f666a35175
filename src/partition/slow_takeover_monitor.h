/// @file
/// Logs takeovers that last long.
#pragma once

#include "kernel/core.h"
#include "partition/partition_store.h"

#include <functional>
#include <optional>
#include <string>

namespace shedshed {

/// Logs `TakeoverSlow` once when a node has tried to own one partition for
/// `kSlowTakeoverThreshold`, and how that ended: `TakeoverFinished` or `TakeoverAbandoned`. Core
/// thread only.
class SlowTakeoverMonitor {
 public:
  /// A takeover that lasts longer is logged.
  static constexpr Duration kSlowTakeoverThreshold = std::chrono::seconds(2);

  /// Keeps a reference to @p context.
  SlowTakeoverMonitor(CoreContext& context, const PartitionId& partition);

  /// The node tries to own the partition at @p epoch and does not serve yet. @p progress tells for
  /// the log how far it is.
  void takeoverInProgress(std::uint64_t epoch, const std::function<std::string()>& progress);

  /// The node does not try to own it: it serves it (@p serves), or follows another owner.
  void noTakeoverInProgress(std::uint64_t epoch, bool serves);

 private:
  CoreContext& context_;
  const std::string partition_;  ///< Name of the partition in the log.
  std::optional<Time> inProgressSince_;
  bool logged_ = false;
};

}  // namespace shedshed

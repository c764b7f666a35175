/// @file
/// Partitions whose memory was lost and whose holders have not all re-asserted their slots yet.
#pragma once

#include "kernel/time.h"
#include "membership/directory.h"
#include "partition/partition_store.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace shedshed {

/// Minimum time for which a window stays open.
inline constexpr Duration kMinimumRecoveryWindow = std::chrono::seconds(1);

/// Directory intervals that must pass after the start of the process before the answers of all
/// known holders close a window: until then the directory may not list all data nodes. A node
/// compares its version vector with another one five times in this time.
inline constexpr int kDirectorySettleIntervals = 5;
/// The settling time at the directory's default interval.
inline constexpr Duration kDirectorySettle = kDirectorySettleIntervals * std::chrono::seconds(1);

/// One recovery window per partition. While it is open nothing new is granted there.
///
/// It closes when every known data node, also one that is confirmed dead, has sent all slots that
/// it holds, or when the longest time to live has passed: by then every slot granted before the
/// loss has been renewed, and thereby re-asserted, or has expired at its holder.
class RecoveryWindows {
 public:
  /// @p maximumSlotLifetime: time after which every earlier grant has expired.
  /// @p directoryCompleteAt: time from which the directory lists all holders.
  void open(const PartitionId& partition, std::uint64_t epoch, Time now,
            Duration maximumSlotLifetime, Time directoryCompleteAt);
  void close(const PartitionId& partition) { windows_.erase(partition); }
  bool isOpen(const PartitionId& partition) const { return windows_.count(partition) != 0; }
  bool empty() const { return windows_.empty(); }

  /// @p holder has sent all slots that it holds in @p partition, in answer to the notice of
  /// @p epoch.
  void recordAnswer(const PartitionId& partition, std::uint64_t epoch, const NodeId& holder);

  /// A recovery notice that has no answer yet.
  struct PendingNotice {
    PartitionId partition;
    std::uint64_t epoch = 0;
    NodeId holder;
  };
  std::vector<PendingNotice> pendingNotices(const std::vector<NodeId>& holders) const;

  /// Closes the windows that are complete or have timed out, and returns their partitions.
  std::vector<PartitionId> closeFinished(const std::vector<NodeId>& holders, Time now);

 private:
  struct Window {
    std::uint64_t epoch = 0;
    Time mayCloseAt;
    Time endsAt;
    std::set<NodeId> answered;
  };
  static bool allAnswered(const Window& window, const std::vector<NodeId>& holders);

  std::map<PartitionId, Window> windows_;
};

}  // namespace shedshed

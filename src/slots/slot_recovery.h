/// @file
/// Recovery of partitions whose memory was lost: notices to the holders, and the closing of the
/// recovery windows.
#pragma once

#include "slots/recovery_windows.h"
#include "slots/slot_owner_environment.h"

#include <cstdint>
#include <vector>

namespace shedshed {

/// Opens a recovery window when this store takes over a partition without a complete table, queries
/// the holders for their slots, and closes the window when all have answered or every earlier grant
/// has expired. While a window is open nothing new is granted in the partition: a number that looks
/// free may still be held.
///
/// The row `kRecoveringRow` keeps the need for a window durable: a successor that takes over before
/// the window has closed opens a new one. It is erased only after the window has closed.
class SlotRecovery {
 public:
  /// Keeps the reference; it must outlive this object.
  explicit SlotRecovery(const SlotOwnerEnvironment& environment) : environment_(environment) {}

  /// Records the start of the process: its directory is incomplete for some time.
  void start() { startedAt_ = environment_.context.now(); }

  /// This store owns @p partition from now on.
  void ownershipGained(const PartitionId& partition, std::uint64_t epoch, RecoveryKind recovery);
  void ownershipLost(const PartitionId& partition) { windows_.close(partition); }

  bool isOpen(const PartitionId& partition) const { return windows_.isOpen(partition); }

  /// @p holder has sent all slots that it holds in @p partition, in answer to the notice of
  /// @p epoch.
  void holderAnswered(const PartitionId& partition, std::uint64_t epoch, const NodeId& holder);

  /// Closes the windows that are complete, and sends again the notices that have no answer.
  void tick();

 private:
  std::vector<NodeId> possibleHolders() const;
  void closeFinished();
  void sendNotices();

  const SlotOwnerEnvironment& environment_;
  RecoveryWindows windows_;
  Time startedAt_;
};

}  // namespace shedshed

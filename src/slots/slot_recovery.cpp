#include "slots/slot_recovery.h"

#include "slots/slot_messages.h"
#include "slots/slot_pools.h"

namespace shedshed {

void SlotRecovery::ownershipGained(const PartitionId& partition, std::uint64_t epoch,
                                   RecoveryKind recovery) {
  windows_.close(partition);
  // A table that was installed after a loss of memory contains the row, whichever owner reads it.
  const bool marked = environment_.store.get(partition, kRecoveringRow).has_value();
  const bool incomplete = marked || recovery == RecoveryKind::MemoryLost;
  if (!incomplete || !environment_.options.safeguards.recoveryWindow) {
    return;
  }
  windows_.open(partition, epoch, environment_.context.now(),
                environment_.rates.longestTimeToLive() + kExpiryMargin,
                startedAt_ + environment_.options.directorySettle);
  sendNotices();
}

void SlotRecovery::holderAnswered(const PartitionId& partition, std::uint64_t epoch,
                                  const NodeId& holder) {
  windows_.recordAnswer(partition, epoch, holder);
  closeFinished();
}

void SlotRecovery::tick() {
  closeFinished();
  sendNotices();
}

/// A node that is confirmed dead may only be frozen or partitioned. It then still relies on its
/// slots, and engines still run its calls, until their time to live has passed.
std::vector<NodeId> SlotRecovery::possibleHolders() const {
  const auto table = environment_.directory.table();
  return environment_.options.safeguards.awaitDeadHolders ? table->known(NodeRole::Data)
                                                          : table->live(NodeRole::Data);
}

void SlotRecovery::closeFinished() {
  if (windows_.empty()) {
    return;
  }
  const std::vector<NodeId> holders = possibleHolders();
  for (const PartitionId& closed : windows_.closeFinished(holders, environment_.context.now())) {
    environment_.store.write(closed, {{kRecoveringRow, std::nullopt}}, [](Status) {});
    environment_.context.logEvent(
        TraceEvent("SlotRecoveryFinished").field("partition", closed.index));
  }
}

void SlotRecovery::sendNotices() {
  if (windows_.empty()) {
    return;
  }
  const std::vector<NodeId> holders = possibleHolders();
  for (const RecoveryWindows::PendingNotice& notice : windows_.pendingNotices(holders)) {
    environment_.context.send(notice.holder, RecoveryNotice{notice.partition, notice.epoch});
  }
}

}  // namespace shedshed

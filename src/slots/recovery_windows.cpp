#include "slots/recovery_windows.h"

#include <algorithm>

namespace shedshed {

void RecoveryWindows::open(const PartitionId& partition, std::uint64_t epoch, Time now,
                           Duration maximumSlotLifetime, Time directoryCompleteAt) {
  Window window;
  window.epoch = epoch;
  window.mayCloseAt = std::max(now + kMinimumRecoveryWindow, directoryCompleteAt);
  window.endsAt = now + maximumSlotLifetime;
  windows_[partition] = window;
}

void RecoveryWindows::recordAnswer(const PartitionId& partition, std::uint64_t epoch,
                                   const NodeId& holder) {
  const auto found = windows_.find(partition);
  if (found != windows_.end() && found->second.epoch == epoch) {
    found->second.answered.insert(holder);
  }
}

std::vector<RecoveryWindows::PendingNotice>
RecoveryWindows::pendingNotices(const std::vector<NodeId>& holders) const {
  std::vector<PendingNotice> result;
  for (const auto& entry : windows_) {
    for (const NodeId& holder : holders) {
      if (entry.second.answered.count(holder) == 0) {
        result.push_back({entry.first, entry.second.epoch, holder});
      }
    }
  }
  return result;
}

std::vector<PartitionId> RecoveryWindows::closeFinished(const std::vector<NodeId>& holders,
                                                        Time now) {
  std::vector<PartitionId> closed;
  for (auto it = windows_.begin(); it != windows_.end();) {
    const Window& window = it->second;
    const bool complete = now >= window.mayCloseAt && allAnswered(window, holders);
    if (complete || now >= window.endsAt) {
      closed.push_back(it->first);
      it = windows_.erase(it);
    } else {
      ++it;
    }
  }
  return closed;
}

bool RecoveryWindows::allAnswered(const Window& window, const std::vector<NodeId>& holders) {
  for (const NodeId& holder : holders) {
    if (window.answered.count(holder) == 0) {
      return false;
    }
  }
  return !holders.empty();
}

}  // namespace shedshed

/// @file
/// Progress of the repair of a store's replicas.
#pragma once

#include <cstdint>

namespace shedshed {

/// Counts of the partitions that this store is to replicate.
struct RepairProgress {
  std::uint32_t caughtUp = 0;  ///< Partitions that it holds completely at the newest known epoch.
  /// Of these, the ones whose owner counts this store, with its present disk, as a replica. Until
  /// then a takeover still needs a majority of the previous replicas.
  std::uint32_t countedAsReplica = 0;
  std::uint32_t total = 0;  ///< Partitions assigned to its slot in the member list; all for a
                            ///< standby.
  bool isMember = false;    ///< True if this store, with its present disk, is a member.

  bool complete() const { return total != 0 && caughtUp == total; }
  bool replacementComplete() const { return isMember && total != 0 && countedAsReplica == total; }
};

}  // namespace shedshed

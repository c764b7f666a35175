/// @file
/// Construction parameters and shared timing of the partition service.
#pragma once

#include "kernel/time.h"

#include <string>

namespace shedshed {

/// Safeguards that only the simulator and tests may disable, to show which fault each prevents.
struct PartitionSafeguards {
  bool fencing = true;           ///< Replicas reject epochs below the promised one.
  bool emptyReplicaRule = true;  ///< A replica that restarted empty does not count as intact.
  bool mergeWriteBack = true;    ///< A merge reaches a majority before the owner serves.
};

/// Construction parameters of `PartitionCore`, and the intervals that several of its classes use.
struct PartitionOptions {
  /// Period of the housekeeping timer.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);

  /// Period of the owners' heartbeats; one message per peer carries all owned partitions.
  static constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(250);

  /// An owner that has no reply from a majority for this long gives up its ownership; a replica
  /// that has no message from the owner for this long no longer redirects to it.
  static constexpr Duration kHeartbeatTimeout = std::chrono::seconds(5);

  /// Time after which an unanswered message of a takeover, write or transfer is sent again.
  static constexpr Duration kRetransmitTimeout = std::chrono::milliseconds(150);

  std::string storeId;  ///< Identity of this node's disk.
  PartitionSafeguards safeguards;
};

}  // namespace shedshed

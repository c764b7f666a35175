/// @file
/// Construction parameters and shared timing of the partition service.
#pragma once

#include "kernel/time.h"

#include <string>

namespace shedshed {

/// Protections that only the simulator and tests may switch off, to show what each prevents.
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

  /// An owner that has no reply from a majority for this long gives its partition up; a replica
  /// that has no message from the owner for this long no longer names it.
  static constexpr Duration kHeartbeatTimeout = std::chrono::seconds(5);

  /// Time after which an unanswered message of a takeover, write or transfer is sent again.
  static constexpr Duration kRetransmitTimeout = std::chrono::milliseconds(150);

  std::string storeId;  ///< Identity of this node's disk.
  PartitionSafeguards safeguards;
};

}  // namespace shedshed

/// @file
/// Values shared by the classes of the partition service.
#pragma once

#include "kernel/time.h"
#include "partition/partition_store.h"
#include "register/configuration_register.h"

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace shedshed {

/// Longest time to live of a slot. A store that restarted with empty memory can no longer break an
/// earlier acknowledgement after this time.
inline constexpr Duration kLongestSlotTtl = std::chrono::seconds(70);

/// Period of the housekeeping timer.
inline constexpr Duration kPartitionTick = std::chrono::milliseconds(50);

/// Period of the heartbeats of owners; one message per peer carries all owned partitions.
inline constexpr Duration kPartitionHeartbeat = std::chrono::milliseconds(250);

/// Time after which an unanswered message of a takeover, write or transfer is sent again.
inline constexpr Duration kPartitionRetransmit = std::chrono::milliseconds(150);

/// A page of a transfer up to this size costs nothing to be sent again.
inline constexpr std::size_t kSmallPageBytes = 64 * 1024;

/// A larger one has longer, as if it travelled at this rate. A store with a new disk is
/// sent a page of every partition at once; pages that are sent again only because the link is busy
/// keep it busy (a store that had 4.8 s to be whole again took over 4.2 s in place of 1.2 s).
inline constexpr double kSlowestPageBytesPerSecond = 400e3;

/// An owner that no majority has answered for this long gives its partition up.
inline constexpr Duration kOwnershipSilence = std::chrono::seconds(5);

/// A store whose configuration has not been proved current for this long after its freshness lease
/// owns nothing: the members and settings that it acts on may have been replaced.
inline constexpr Duration kStaleOwnership = std::chrono::seconds(6);

/// A store that comes first in the order again takes over from a working owner only after this
/// time, so that a store that restarts over and over does not move its partitions each time.
inline constexpr Duration kHandBackSettle = std::chrono::seconds(3);

/// An owner whose heartbeat was heard within this time counts as working.
inline constexpr Duration kOwnerHeard = std::chrono::seconds(1);

/// While all replicas are live, a durable write waits this long for all of them before a majority
/// is enough.
inline constexpr Duration kAllReplicasWait = std::chrono::milliseconds(200);

/// Time that a takeover waits for further replicas when too few have unbroken memory.
inline constexpr Duration kMemoryWait = std::chrono::seconds(1);

/// Time without progress after which a takeover is tried anew at a higher epoch.
inline constexpr Duration kTakeoverTimeout = std::chrono::seconds(3);

/// Longest random pause before a refused takeover is tried again.
inline constexpr Duration kTakeoverBackoff = std::chrono::milliseconds(400);

/// Least time between two resends to one replica that reports missing writes.
inline constexpr Duration kGapResendPause = std::chrono::milliseconds(20);

/// Time after which `confirmOwnership` fails with `NoQuorum`.
inline constexpr Duration kConfirmTimeout = std::chrono::seconds(2);

/// Interval at which an owner compares the checksums of its replicas with its own.
inline constexpr Duration kScrubInterval = std::chrono::seconds(3);

/// Pause before records that the disk refused are written again.
inline constexpr Duration kPersistRetry = std::chrono::seconds(1);

/// Bound of the rows in one message of a transfer, in bytes. One larger row travels alone.
inline constexpr std::size_t kPageBytes = 256 * 1024;

/// Number of past writes of which an owner remembers the keys for replicas that fall behind.
inline constexpr std::size_t kLogEntries = 4096;

/// Position of a write in the history of one partition.
struct Version {
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;

  bool operator==(const Version& other) const {
    return epoch == other.epoch && sequence == other.sequence;
  }
  bool operator<(const Version& other) const {
    return epoch != other.epoch ? epoch < other.epoch : sequence < other.sequence;
  }
  MSGPACK_DEFINE(epoch, sequence);
};

/// One row with its version, as stored and as sent. An erased row stays as a tombstone.
struct VersionedRow {
  std::string key;
  Version version;
  bool erased = false;
  std::string value;
  MSGPACK_DEFINE(key, version, erased, value);
};

/// Protections that only the simulator and tests may switch off, to show what each prevents.
struct PartitionSafeguards {
  bool fencing = true;           ///< Replicas refuse epochs below the promised one.
  bool emptyReplicaRule = true;  ///< A restarted empty replica does not count as remembering.
  bool mergeWriteBack = true;    ///< A merge reaches a majority before the owner serves.
};

/// Construction parameters of `PartitionCore`.
struct PartitionOptions {
  std::string storeId;  ///< Identity of this node's disk.
  PartitionSafeguards safeguards;
};

/// How much of the data that it is to hold this store holds.
struct RepairProgress {
  std::uint32_t held = 0;  ///< Partitions held in full at the newest known epoch.
  /// Of these, the ones whose owner counts this store, with its present disk, as a replica. Until
  /// then a takeover still needs a majority of the replicas before.
  std::uint32_t settled = 0;
  std::uint32_t total = 0;  ///< Partitions of its place, or all for one without a place.
  bool isMember = false;    ///< True if this store, with its present disk, is a member.
  bool complete() const { return total != 0 && held == total; }
  bool replacementComplete() const { return isMember && total != 0 && settled == total; }
};

using StoreMembers = std::vector<MemberList::Member>;

}  // namespace shedshed

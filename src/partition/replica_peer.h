/// @file
/// Replication from an owner to one other store.
#pragma once

#include "partition/partition_takeover.h"
#include "partition/write_log.h"

#include <optional>
#include <string>

namespace shedshed {

/// What an owner replicates, shared by all its peers. Belongs to the owner, which outlives them.
struct ReplicationSource {
  CoreContext& context;
  const PartitionReplica& replica;  ///< The owner's own replica, with the merged table.
  const TakeoverOutcome& outcome;
  WriteLog log;
  bool fencing = true;             ///< `PartitionSafeguards::fencing`.
  std::uint64_t nextTransfer = 1;  ///< Number of the next transfer. Increasing, so that a
                                   ///< replica detects a late page of an earlier transfer.

  std::uint64_t epoch() const { return outcome.epoch; }
};

/// Brings the replica of one peer to the owner's epoch and keeps it there: requests the promise,
/// transfers the table in pages, replicates writes, retransmits what is not acknowledged, and
/// compares checksums.
///
/// All state is taken from replies that name the peer's disk, and is reset when a reply names
/// another one. Core thread only.
class ReplicaPeer {
 public:
  /// Minimum interval between retransmissions to a replica that reports missing writes.
  static constexpr Duration kGapResendInterval = std::chrono::milliseconds(20);

  /// Interval at which the checksum of the replica is compared with the owner's.
  static constexpr Duration kScrubInterval = std::chrono::seconds(3);

  /// Keeps a reference to @p source. The time without a reply starts now.
  ReplicaPeer(ReplicationSource& source, NodeId node);

  /// Records a reply of the peer with the disk @p storeId. To be called before the reply is passed
  /// to `receive`.
  void replyReceived(const std::string& storeId);

  void receive(const PromiseAnswer& answer);
  void receive(const InstallReply& reply);
  void receive(const ReplicateReply& reply);
  void receive(const HeartbeatReply& reply, const ReplicaPosition& position);

  /// Starts a transfer of the table. The rows are not sent if @p checksum, that of the replica's
  /// rows when it promised, shows that it has them.
  void beginTransfer(std::optional<std::uint64_t> checksum);

  /// Sends the newest write, whose sequence is @p sequence, if all earlier ones were sent to it.
  void sendWrite(std::uint64_t sequence, const Message& message);

  /// Retransmits what was not acknowledged in time. To be called while the peer is believed to be
  /// reachable.
  void tick();

  /// True if the peer, with the disk @p storeId, holds the owner's epoch up to @p sequence.
  bool holds(const std::string& storeId, std::uint64_t sequence) const;

  /// True if the peer, with the disk @p storeId, replied to heartbeat @p round or a later one
  /// without a promise above the owner's epoch.
  bool confirms(const std::string& storeId, std::uint64_t round) const;

  /// True if the peer, with the disk @p storeId, reported that it is low on disk space.
  bool isLowOnDiskSpace(const std::string& storeId) const;

  Time lastReplyAt() const { return state_.lastReplyAt; }
  std::uint64_t acknowledged() const { return state_.acknowledged; }

  /// The owner's sequence when the current transfer began; nullopt if there is none.
  std::optional<std::uint64_t> transferSequence() const;

 private:
  /// A transfer of the owner's table. Its pages are acknowledged one by one.
  struct Transfer {
    std::uint64_t number = 0;
    std::uint64_t sequence = 0;
    bool keepRows = false;       ///< The replica has the rows already; only the epoch is installed.
    std::uint64_t checksum = 0;  ///< Required checksum of the replica's rows for `keepRows`.
    bool fromStart = true;
    std::string afterKey;
    Time sentAt;
    Duration retransmitTimeout = PartitionOptions::kRetransmitTimeout;
  };

  /// State of the peer's present disk.
  struct State {
    std::string storeId;             ///< Empty until the first reply.
    bool installed = false;          ///< It holds the owner's epoch.
    std::uint64_t acknowledged = 0;  ///< Last write that it holds, and has synced for `Batches`.
    std::uint64_t sent = 0;          ///< Last write that was sent to it.
    std::uint64_t heartbeatRound = 0;
    Time writesSentAt;
    Duration retransmitTimeout = PartitionOptions::kRetransmitTimeout;
    Time lastReplyAt;
    Time promiseRequestedAt;
    Time scrubbedAt;
    bool isLowOnDiskSpace = false;
    int mismatches = 0;  ///< Consecutive scrubs that found another checksum.
    std::optional<Transfer> transfer;
  };

  void updatePosition(const ReplicaPosition& position);
  void requestPromise();
  void sendPage();
  void sendWritesAfter(std::uint64_t sequence);
  void scrub(const ReplicaPosition& position);

  ReplicationSource& source_;
  const NodeId node_;
  State state_;
};

}  // namespace shedshed

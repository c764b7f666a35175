/// @file
/// Second half of a takeover, and the owner's work afterwards.
#pragma once

#include "partition/partition_takeover.h"
#include "partition/write_log.h"

namespace shedshed {

/// Owns one partition at one epoch: writes the merged table back, replicates writes, confirms its
/// ownership and repairs replicas that differ. Core thread only.
///
/// Serving begins when the merged table is on a majority of the members and of the previous
/// replicas, so any later takeover, also one by a node that has not heard of a change of the
/// members, meets this epoch.
class PartitionOwner {
 public:
  /// Keeps references; they must outlive it. @p changed is called after an asynchronous step.
  PartitionOwner(CoreContext& context, const StoreSet& stores, PartitionReplica& replica,
                 const PartitionOptions& options, const TakeoverOutcome& outcome,
                 std::function<void()> changed);

  /// Installs the epoch on this node's replica and begins the write-back.
  void begin();

  std::uint64_t epoch() const { return outcome_.epoch; }
  RecoveryKind recovery() const { return outcome_.recovery; }
  const StoreMembers& members() const { return outcome_.replicas; }

  /// True once the write-back has reached the majorities.
  bool serving() const { return serving_; }

  /// True if a replica refused this epoch, or no majority has answered for `kOwnershipSilence`.
  bool lost() const;

  /// The higher epoch that a replica named, or 0.
  std::uint64_t refusedBy() const { return refusedBy_; }

  void write(std::vector<TableEntry> entries, std::function<void(Status)> done);

  /// Completes with an answer to heartbeat number @p round or a later one.
  void confirm(std::uint64_t round, std::function<void(Status)> done);
  bool confirming() const { return !confirmations_.empty(); }

  /// For the log: how far the write-back is.
  std::string progress() const;

  /// The item for this partition in a heartbeat.
  HeartbeatItem heartbeat() const;

  void receive(const NodeId& from, const std::string& storeId, const PromiseAnswer& answer);
  void receive(const NodeId& from, const InstallReply& reply);
  void receive(const NodeId& from, const ReplicateReply& reply);
  void heartbeatAnswered(const NodeId& from, const HeartbeatReply& reply,
                         const ReplicaPosition& position);

  /// True if a replica has told that its disk has little room left.
  bool replicaIsScarce() const;
  void tick();

  /// Completes what is due. Callbacks may call `write` and `confirm`.
  void complete();

  /// Takes out the callbacks of everything outstanding, in order.
  std::vector<std::function<void(Status)>> takeOutstanding();

 private:
  struct Transfer {
    std::uint64_t number = 0;
    std::uint64_t sequence = 0;
    bool keepRows = false;
    std::uint64_t checksum = 0;
    bool fromStart = true;
    std::string afterKey;
    Time sentAt;
    Duration patience = kPartitionRetransmit;  ///< Until the page is sent again.
  };
  struct Peer {
    std::string storeId;
    bool installed = false;
    std::uint64_t acknowledged = 0;
    std::uint64_t sent = 0;
    std::uint64_t round = 0;
    Time sentAt;
    Duration patience = kPartitionRetransmit;  ///< Until the writes are sent again.
    Time heardAt;
    Time askedAt;
    Time scrubbedAt;
    bool isScarce = false;
    int mismatches = 0;
    std::optional<Transfer> transfer;
  };
  struct PendingWrite {
    std::uint64_t sequence;
    Time begunAt;
    std::function<void(Status)> done;
  };
  struct Confirmation {
    std::uint64_t round;
    Time begunAt;
    std::function<void(Status)> done;
  };

  Peer& heardFrom(const NodeId& from, const std::string& storeId, std::uint64_t promisedEpoch);
  void update(Peer& peer, const ReplicaPosition& position);
  void addPeers();
  void driveUninstalled(const NodeId& node, Peer& peer);
  void beginTransfer(const NodeId& node, Peer& peer, std::optional<std::uint64_t> checksum);
  void sendPage(const NodeId& node, Transfer& transfer);
  void sendWrites(const NodeId& node, Peer& peer, std::uint64_t after);
  void scrub(const NodeId& node, Peer& peer, const ReplicaPosition& position);
  bool holds(const MemberList::Member& member, std::uint64_t sequence) const;
  bool majorityHolds(std::uint64_t sequence) const;
  bool allHold(std::uint64_t sequence) const;
  bool writeComplete(const PendingWrite& write) const;
  bool confirmed(const Confirmation& confirmation) const;
  bool installedOnMajorities() const;
  bool heardByMajority() const;
  std::uint64_t stableSequence() const;
  void trimLog();

  CoreContext& context_;
  const StoreSet& stores_;
  PartitionReplica& replica_;
  const PartitionOptions& options_;
  TakeoverOutcome outcome_;
  std::function<void()> changed_;
  WriteLog log_;
  std::map<NodeId, Peer> peers_;
  std::deque<PendingWrite> writes_;
  std::deque<Confirmation> confirmations_;
  std::uint64_t nextTransfer_ = 1;
  std::uint64_t refusedBy_ = 0;
  bool selfInstalled_ = false;
  bool serving_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedshed

/// @file
/// The replica of one partition on one store.
#pragma once

#include "partition/durable_writer.h"
#include "partition/incoming_transfer.h"
#include "partition/partition_options.h"
#include "partition/partition_table.h"

#include <functional>
#include <vector>

namespace shedshed {

/// What a replica keeps on disk besides its rows. The field order is the record format.
struct ReplicaState {
  std::uint64_t promisedEpoch = 0;    ///< Lower epochs are rejected.
  NodeId promisedTo;                  ///< The one node that may own `promisedEpoch`; empty if that
                                      ///< node abandoned it.
  std::uint64_t installedEpoch = 0;   ///< Epoch whose merged table is held in full.
  std::uint64_t sequence = 0;         ///< Last write of `installedEpoch` that is held.
  std::uint64_t replicaSetEpoch = 0;  ///< Epoch at which `replicas` was agreed.
  StoreMembers replicas;
  MSGPACK_DEFINE(promisedEpoch, promisedTo, installedEpoch, sequence, replicaSetEpoch, replicas);
};

/// Keeps promises, applies writes in order and holds the rows. The owner of a partition uses its
/// own replica through the same class. Core thread only.
///
/// Why counting replicas of an epoch is safe: a promise is synced before it is answered, rows of
/// `Batches` are synced before they are acknowledged, and a replica whose memory of a `Slots`
/// table was lost reports `installedEpoch` 0 until an owner has given it the whole table again.
/// That owner's epoch is at least the promised one, and each epoch's table contains everything
/// acknowledged below it, hence everything that this replica ever acknowledged.
class PartitionReplica {
 public:
  /// Longest time to live of a slot. A replica that restarted with empty memory can no longer break
  /// an earlier acknowledgement after this time.
  static constexpr Duration kMaxSlotTtl = std::chrono::seconds(70);

  /// Keeps references; they must outlive it.
  PartitionReplica(CoreContext& context, DurableWriter& writer, const PartitionOptions& options,
                   const PartitionId& partition);

  /// Reads the durable state. Called once, at the start.
  void load();

  const PartitionId& partition() const { return partition_; }
  const PartitionTable& table() const { return table_; }
  const ReplicaState& state() const { return state_; }

  /// True if this replica holds everything that it ever acknowledged.
  bool isIntact() const;

  /// What it holds; `sequence` counts only what is synced.
  ReplicaPosition position() const;

  /// Promises to reject epochs below @p epoch, if it has promised none higher and not this one to
  /// another node. Calls @p done with the answer once the promise is synced: a promise that a crash
  /// could undo would let a lower epoch complete writes that the takeover does not see.
  void promise(std::uint64_t epoch, const NodeId& to, std::function<void(PromiseAnswer)> done);

  /// Returns the answer that makes no promise for @p epoch.
  PromiseAnswer rejectPromise(std::uint64_t epoch) const;

  /// Gives up a promise that this node made to itself, so that another node that has the epoch may
  /// use this replica. Safe only for a takeover that this process drops before it has owned the
  /// epoch: it has written nothing under it and never takes it again. After a restart, or once it
  /// has owned the epoch, the promise stays, since two owners of one epoch would write different
  /// rows under equal versions.
  void abandonOwnPromise();

  /// True if a message of @p epoch from @p from may be applied. A higher epoch than the promised
  /// one counts as a promise. It is synced with or before whatever the message changes, since
  /// persist requests complete in order.
  bool accepts(std::uint64_t epoch, const NodeId& from);

  /// Applies a page of an accepted transfer if it comes next; @p answer is called, once that is
  /// synced, with @p reply completed by how far the transfer has come. Old transfers get none.
  void install(const InstallRequest& request, InstallReply reply,
               std::function<void(InstallReply)> answer);

  /// Applies those writes of an accepted request that come next; @p done is called once they are
  /// synced (at once for `Slots`, and if there was nothing new).
  void replicate(const ReplicateRequest& request, std::function<void()> done);

  /// Takes rows from another replica during this node's takeover at @p epoch: the higher version
  /// wins; with @p replace the page wins over everything that is here.
  void applyTakeoverPage(const TablePage& page, std::uint64_t epoch, bool replace);

  /// Declares the table to be the merged one of @p epoch. Used by the new owner.
  void installOwn(std::uint64_t epoch, const StoreMembers& replicas, std::function<void()> done);

  /// Forgets the tombstones up to the write @p stable of @p epoch, which every replica has applied.
  /// 0 means that none is known to be.
  void collectTombstones(std::uint64_t epoch, std::uint64_t stable);

  /// Drops rows that could not be read back.
  void dropDamaged();

 private:
  PromiseAnswer makeAnswer(std::uint64_t epoch, bool granted) const;
  /// Persists @p mutations and the state in one atomic step: after a crash the rows and the
  /// position agree.
  void persistWithState(std::vector<Mutation> mutations, std::function<void()> done);
  void finishInstall(std::uint64_t epoch, std::uint64_t sequence, const StoreMembers& replicas);
  bool isDurable() const { return partition_.kind == TableKind::Batches; }

  CoreContext& context_;
  DurableWriter& writer_;
  const PartitionOptions& options_;
  PartitionId partition_;
  PartitionTable table_;
  ReplicaState state_;
  Version synced_;            ///< Installed epoch and sequence that are on disk; `Batches` only.
  bool neverServed_ = false;  ///< Nothing was ever promised, hence nothing acknowledged.
  bool damaged_ = false;      ///< Rows were lost to damage since the last complete transfer.
  Time startedAt_;
  IncomingTransfer transfer_;
};

}  // namespace shedshed

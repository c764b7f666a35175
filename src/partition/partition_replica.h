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

/// Durable state of a replica besides its rows. The field order is the record format.
struct ReplicaState {
  std::uint64_t promisedEpoch = 0;    ///< Lower epochs are rejected.
  NodeId promisedTo;                  ///< The one node that may own `promisedEpoch`; empty if that
                                      ///< node abandoned it.
  std::uint64_t installedEpoch = 0;   ///< Epoch whose complete merged table is held.
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
/// table was lost reports `installedEpoch` 0 until an owner has transferred the whole table again.
/// That owner's epoch is at least the promised one, and each epoch's table contains everything
/// acknowledged below it, hence everything that this replica ever acknowledged.
class PartitionReplica {
 public:
  /// Longest time to live of a slot. This long after a restart with empty memory, all slots that
  /// the replica had acknowledged have expired, so it counts as intact again.
  static constexpr Duration kMaxSlotTtl = std::chrono::seconds(70);

  /// Keeps references; they must outlive it.
  PartitionReplica(CoreContext& context, DurableWriter& writer, const PartitionOptions& options,
                   const PartitionId& partition);

  /// Reads the durable state. Called once, when the core starts.
  void load();

  const PartitionId& partition() const { return partition_; }
  const PartitionTable& table() const { return table_; }
  const ReplicaState& state() const { return state_; }

  /// True if this replica holds everything that it ever acknowledged.
  bool isIntact() const;

  /// Position of this replica; for `Batches` it covers only synced writes.
  ReplicaPosition position() const;

  /// Promises to reject epochs below @p epoch, if it has promised none higher and not this one to
  /// another node. Calls @p done with the answer once the promise is synced: a promise that a crash
  /// could undo would let a lower epoch complete writes that the takeover does not see.
  void promise(std::uint64_t epoch, const NodeId& to, std::function<void(PromiseAnswer)> done);

  /// Returns an answer that rejects @p epoch. Changes no state.
  PromiseAnswer rejectPromise(std::uint64_t epoch) const;

  /// Releases a promise that this node made to itself, so that another node that has the epoch may
  /// use this replica. Safe only for a takeover that this process abandons before it has owned the
  /// epoch: it has written nothing under it and never uses it again. After a restart, or once it
  /// has owned the epoch, the promise stays, since two owners of one epoch would write different
  /// rows under equal versions.
  void abandonOwnPromise();

  /// True if a message of @p epoch from @p from may be applied. A higher epoch than the promised
  /// one counts as a promise. It is synced with or before whatever the message changes, since
  /// persist requests complete in order.
  bool accepts(std::uint64_t epoch, const NodeId& from);

  /// Applies a page of an accepted transfer if it is the next one. Once that is synced, calls
  /// @p answer with @p reply, completed with the position of the transfer. Requests of older
  /// transfers are not answered.
  void install(const InstallRequest& request, InstallReply reply,
               std::function<void(InstallReply)> answer);

  /// Applies those writes of an accepted request that are next in sequence; @p done is called once
  /// they are synced (at once for `Slots`, and if there was nothing new).
  void replicate(const ReplicateRequest& request, std::function<void()> done);

  /// Applies rows of another replica during this node's takeover at @p epoch. The higher version
  /// wins; with @p replace the page replaces all local rows of its key range.
  void applyTakeoverPage(const TablePage& page, std::uint64_t epoch, bool replace);

  /// Marks the local table as the merged table of @p epoch. Used by the new owner.
  void installOwn(std::uint64_t epoch, const StoreMembers& replicas, std::function<void()> done);

  /// Removes the tombstones up to the write @p stable of @p epoch, which every replica has applied;
  /// 0 if no such write is known.
  void collectTombstones(std::uint64_t epoch, std::uint64_t stable);

  /// Drops rows that could not be read back.
  void dropDamaged();

 private:
  PromiseAnswer makeAnswer(std::uint64_t epoch, bool granted) const;
  /// Persists @p mutations and the state in one atomic step, so that the rows and the position are
  /// consistent after a crash.
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
  bool neverServed_ = false;  ///< No promise before the start, hence no acknowledgement.
  bool damaged_ = false;      ///< Rows were lost to corruption since the last complete transfer.
  Time startedAt_;
  IncomingTransfer transfer_;
};

}  // namespace shedshed

/// @file
/// The merge of the replicas' tables during a takeover.
#pragma once

#include "partition/partition_replica.h"
#include "partition/promise_quorum.h"

#include <optional>
#include <string>
#include <vector>

namespace shedshed {

/// Builds the merged table of a takeover in this node's replica, from the tables of the replicas
/// that promised.
///
/// Only replicas of the highest installed epoch take part. Rows or versions that only replicas of
/// an older epoch hold were never acknowledged, and later readers have seen them as absent. Among
/// replicas of the same epoch the higher version of a row is the later write. The tables don't
/// change while they are read: their replicas have promised to reject lower epochs. Each row is
/// persisted without a change of the installed epoch, so after a crash during the merge the replica
/// still counts for its earlier epoch. Core thread only.
class TableMerge {
 public:
  /// Time without a page after which the merge is abandoned, and the takeover tried again at a
  /// higher epoch.
  static constexpr Duration kProgressTimeout = std::chrono::seconds(3);

  /// Keeps references; they must outlive it. @p epoch is the takeover's.
  TableMerge(CoreContext& context, PartitionReplica& replica, const PromiseQuorum& promises,
             std::uint64_t epoch);

  /// Chooses the tables to fetch and requests the first one.
  void begin();

  void receive(const NodeId& from, const FetchReply& reply);

  /// Retransmits an unanswered request.
  void tick();

  /// True once no table is left to fetch.
  bool isFinished() const { return sources_.empty(); }

  /// True if there was no progress for `kProgressTimeout`.
  bool isTimedOut() const;

  std::size_t tablesLeft() const { return sources_.size(); }

 private:
  const PromiseQuorum::Promise& promiseOf(const NodeId& node) const;
  bool isExpected(const NodeId& from, const FetchReply& reply) const;
  void fetchNextTable();
  void sendFetch();

  CoreContext& context_;
  PartitionReplica& replica_;
  const PromiseQuorum& promises_;
  const std::uint64_t epoch_;
  std::vector<NodeId> sources_;  ///< Replicas whose tables are still to be fetched, the current one
                                 ///< first.
  bool replaceOwn_ = false;      ///< The next table replaces the local one, whose epoch is older.
  bool fetchFromStart_ = true;
  std::string fetchAfter_;
  Time fetchSentAt_;
  Time lastProgressAt_;
};

}  // namespace shedshed

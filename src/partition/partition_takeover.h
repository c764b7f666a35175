/// @file
/// First half of a takeover: promises, and the merge of the replicas' tables.
#pragma once

#include "partition/partition_replica.h"
#include "partition/store_set.h"

namespace shedshed {

/// What a takeover found out.
struct TakeoverOutcome {
  std::uint64_t epoch = 0;
  RecoveryKind recovery = RecoveryKind::Complete;
  StoreMembers replicas;  ///< The members for whom the epoch is taken.
  StoreMembers previous;  ///< The replicas of the newest epoch found; empty if none.
  std::map<NodeId, std::uint64_t> checksums;  ///< What the replicas held when they promised.
};

/// Asks for promises of one epoch and builds the merged table in this node's replica.
///
/// Why the merge holds every acknowledged row: an acknowledged write is on a majority that has
/// installed its epoch. The takeover hears a majority of the present members and a majority of the
/// replicas of the newest epoch found, so one of those that answer has it, and answers with the
/// highest installed epoch. Replicas of an older epoch are left out: whatever they have beyond the
/// newest epoch's table was never acknowledged, and later readers were told that it is absent.
/// Among replicas of the same epoch the higher version of a row is the later write.
class PartitionTakeover {
 public:
  enum class State { Promising, Merging, Done, Refused };

  /// Keeps references; they must outlive it. @p changed is called after an asynchronous step.
  PartitionTakeover(CoreContext& context, const StoreSet& stores, PartitionReplica& replica,
                    const PartitionOptions& options, std::uint64_t epoch,
                    std::function<void()> changed);

  /// Promises the epoch to itself. Other replicas are asked only after that is synced, so that an
  /// epoch is never used by two lives of one process.
  void begin();

  State state() const { return state_; }
  std::uint64_t epoch() const { return outcome_.epoch; }

  /// For the log: how far it is.
  std::string progress() const;

  /// The highest epoch that a refusal named.
  std::uint64_t refusedBy() const { return refusedBy_; }

  /// Valid when `Done`.
  const TakeoverOutcome& outcome() const { return outcome_; }

  /// The nodes that have not answered yet and are to be asked now.
  std::vector<NodeId> unasked();

  void receive(const NodeId& from, const std::string& storeId, const PromiseAnswer& answer);
  void receive(const NodeId& from, const FetchReply& reply);
  void tick();

 private:
  struct Answer {
    std::string storeId;
    PromiseAnswer answer;
  };
  bool answered(const MemberList::Member& member) const;
  bool answeredIntact(const MemberList::Member& member) const;
  bool allAnswered(bool deadToo) const;
  bool joinedMajority(const std::function<bool(const MemberList::Member&)>& holds) const;
  void findPrevious();
  void evaluate();
  bool memoryWaitOver() const;
  void beginMerge();
  void fetchNext();
  void sendFetch();
  /// Adds the row that tells a successor that this table was never complete.
  void markLostMemory();
  void finish();

  CoreContext& context_;
  const StoreSet& stores_;
  PartitionReplica& replica_;
  const PartitionOptions& options_;
  std::function<void()> changed_;
  State state_ = State::Promising;
  TakeoverOutcome outcome_;
  std::map<NodeId, Answer> answers_;
  std::uint64_t refusedBy_ = 0;
  std::optional<Time> majorityAt_;  ///< When the majorities had promised.
  Time progressAt_;
  Time askedAt_;
  bool asked_ = false;
  std::vector<NodeId> sources_;
  bool replace_ = false;
  bool fetchFromStart_ = true;
  std::string fetchAfter_;
  Time fetchSentAt_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shedshed

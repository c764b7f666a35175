/// @file
/// Promises that a takeover has received, and their majorities.
#pragma once

#include "partition/partition_messages.h"
#include "partition/store_set.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace shedshed {

/// Counts the promises of one epoch over two sets of replicas: the present ones, and those of the
/// newest epoch that any answer names ("previous").
///
/// Why both: an acknowledged write is on a majority of the replicas of its epoch. If the members
/// have changed since, a majority of the present ones need not contain any of these. Each set of
/// replicas was installed on a majority of the one before it, so the newest one that answers name
/// is at least as new as the last one that served. Core thread only.
class PromiseQuorum {
 public:
  /// A promise with the disk of the replica that made it.
  struct Promise {
    std::string storeId;
    PromiseAnswer answer;
  };

  /// @p replicas are the present ones.
  explicit PromiseQuorum(StoreMembers replicas) : replicas_(std::move(replicas)) {}

  /// Adds a granted promise of @p from.
  void add(const NodeId& from, const std::string& storeId, const PromiseAnswer& answer);

  const StoreMembers& replicas() const { return replicas_; }

  /// The replicas of the newest epoch that was named; empty if none was.
  const StoreMembers& previous() const { return previous_; }

  const std::map<NodeId, Promise>& promises() const { return promises_; }

  /// True if a majority of both sets has promised.
  bool majoritiesPromised() const;

  /// True if a majority of both sets has promised and holds all that it ever acknowledged.
  bool majoritiesIntact() const;

  /// True if all present replicas have promised.
  bool allPromised() const;

  /// True if all present replicas that @p stores believes to be live have promised.
  bool allLivePromised(const StoreSet& stores) const;

  /// The nodes of both sets that have not promised, in ascending order.
  std::vector<NodeId> missing() const;

  /// Counts of promises, for log events.
  std::string progress() const;

 private:
  bool hasPromised(const MemberList::Member& member) const;
  bool hasIntactPromise(const MemberList::Member& member) const;
  bool onMajorities(const std::function<bool(const MemberList::Member&)>& holds) const;

  const StoreMembers replicas_;
  StoreMembers previous_;
  std::map<NodeId, Promise> promises_;
};

}  // namespace shedshed

/// @file
/// The newest committed member list that a node knows.
#pragma once

#include "register/quorum.h"
#include "register/synced_outbox.h"

namespace shedshed {

/// Persisted on nodes with a disk, so that a restarted node does not use a list older than the one
/// that it has acknowledged.
class CommittedMembers {
 public:
  /// @p isDurable false on nodes without a disk. Keeps references; they must outlive it.
  CommittedMembers(CoreContext& context, SyncedOutbox& outbox, bool isDurable)
      : context_(context), outbox_(outbox), isDurable_(isDurable) {}

  /// Restores the list from the node's record; none is known if the record is absent or unreadable.
  void load();

  /// Adopts @p value, which must be committed, if it is newer. Messages sent through the outbox
  /// afterwards leave only once the record is synced.
  void learn(const RegisterValue& value);

  /// Version 0 if no list is known.
  const KnownMembers& known() const { return known_; }

 private:
  CoreContext& context_;
  SyncedOutbox& outbox_;
  const bool isDurable_;
  KnownMembers known_;
};

}  // namespace shedshed

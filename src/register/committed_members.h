/// @file
/// The newest committed member list that a node knows.
#pragma once

#include "register/quorum.h"
#include "register/synced_outbox.h"

namespace shedshed {

/// Kept in a record on nodes with a disk, so that a restarted node does not go by an older list
/// than the one whose knowledge it has acknowledged.
class CommittedMembers {
 public:
  /// @p isDurable false on nodes without a disk. Keeps references; they must outlive it.
  CommittedMembers(CoreContext& context, SyncedOutbox& outbox, bool isDurable)
      : context_(context), outbox_(outbox), isDurable_(isDurable) {}

  /// Restores the list from the node's record; none is known if that is absent or not readable.
  void load();

  /// Adopts @p value, which must be committed, if it is newer. Messages that are sent through the
  /// outbox later leave after the record is synced.
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

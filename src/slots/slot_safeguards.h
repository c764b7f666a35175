/// @file
/// Switches for mutation tests of the slot protocol.
#pragma once

namespace shedshed {

/// Steps of the protocol that a test or the simulator may leave out, to prove that it would notice.
/// Daemons always use the default: all on.
struct SlotSafeguards {
  /// After a loss of memory nothing new is granted before the holders have re-asserted.
  bool recoveryWindow = true;
  /// A recovery window waits for the holders that are confirmed dead, too.
  bool awaitDeadHolders = true;
  /// A grant is answered only once a majority has it.
  bool grantAfterMajority = true;
  /// An owner proves that it still owns the partition before it answers a renewal.
  bool confirmRenewals = true;
  /// A repeated acquisition with the same token gets the slot that the token holds.
  bool idempotentTokens = true;
  /// A grant that arrives after its acquisition was abandoned is released at once.
  bool releaseLateGrants = true;
  /// Slots already granted are released before a rejection is reported.
  bool releaseBeforeRefusal = true;
  /// A grant of an older epoch than a recovery that this holder has answered is discarded.
  bool discardOldGrants = true;
  /// The holder of a slot that was not renewed for a while is queried whether it still holds it.
  bool queryUnresponsiveHolders = true;
};

}  // namespace shedshed

/// @file
/// Switches for mutation tests of the slot protocol.
#pragma once

namespace shedshed {

/// Protocol steps that a test or the simulator may disable, to verify that it detects the
/// violation. Daemons always use the default: all enabled.
struct SlotSafeguards {
  /// After a loss of memory nothing new is granted before the holders have re-asserted.
  bool recoveryWindow = true;
  /// A recovery window also waits for the holders that are confirmed dead.
  bool awaitDeadHolders = true;
  /// A grant is answered only once a majority has its row.
  bool grantAfterMajority = true;
  /// An owner confirms that it still owns the partition before it answers a renewal.
  bool confirmRenewals = true;
  /// A repeated acquisition with the same token gets the slot that the token holds.
  bool idempotentTokens = true;
  /// A grant that arrives after its acquisition was abandoned is released at once.
  bool releaseLateGrants = true;
  /// Slots already granted are released before a rejection is reported.
  bool releaseBeforeRefusal = true;
  /// A grant of an older epoch than a recovery that this holder has answered is discarded.
  bool discardOldGrants = true;
  /// The holder of a slot that has not been renewed recently is queried whether it still holds it.
  bool queryUnresponsiveHolders = true;
};

}  // namespace shedshed

/// @file
/// Switches for mutation tests of the slot protocol.
#pragma once

namespace shedshed {

/// Steps of the protocol that a test or the simulator may leave out, to prove that it would notice.
/// Daemons always use the default: all on.
struct SlotSafeguards {
  /// After a loss of memory nothing new is granted before the holders have re-asserted.
  bool recoveryWindow = true;
  /// A recovery window waits for the holders that are held dead, too.
  bool awaitDeadHolders = true;
  /// A grant is answered only once a majority has it.
  bool grantAfterMajority = true;
  /// An owner proves that it still owns the partition before it answers a renewal.
  bool confirmRenewals = true;
  /// A token that asks again gets the slot that it holds.
  bool idempotentTokens = true;
  /// A grant that arrives after its acquisition was given up is released at once.
  bool releaseLateGrants = true;
  /// Slots already taken are released before a refusal is reported.
  bool releaseBeforeRefusal = true;
  /// A grant of an older epoch than a recovery that this holder has answered is discarded.
  bool discardOldGrants = true;
  /// The holder of a slot that was not heard of for a while is asked whether it holds it.
  bool askSilentHolders = true;
};

}  // namespace shedshed

/// @file
/// Switches with which mutation tests disable single safety rules to show that each is needed. No
/// daemon sets them.
#pragma once

namespace shedshed {

/// Safety rules of the batch services; all enabled outside tests and the simulator.
struct BatchSafeguards {
  bool startedBeforeRun = true;     ///< `Started` is on a majority before the engine is called.
  bool firstResultWins = true;      ///< A second result of an item is ignored.
  bool runEpochFence = true;        ///< Messages of an earlier run are rejected.
  bool acceptAfterMajority = true;  ///< A submission is acknowledged only once it is durable.
  bool confirmNotFound = true;      ///< A majority confirms ownership before a `NotFound` reply.
  bool unknownAfterLostRun = true;  ///< Non-idempotent items started by a lost run are never rerun.
  bool cancelStopsStarts = true;    ///< A cancelled batch starts no item.
  bool rebuildQuotaFromOwners = true;  ///< A new quota owner queries all owners before granting.
  bool proveQuotaOwnership = true;     ///< A quota owner confirms its ownership before granting.
};

}  // namespace shedshed

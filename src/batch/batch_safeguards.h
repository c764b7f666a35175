/// @file
/// Switches that mutation tests turn off to show that each rule is needed. No daemon sets them.
#pragma once

namespace shedshed {

/// Rules of the batch services; all on outside of tests and the simulator.
struct BatchSafeguards {
  bool startedBeforeRun = true;     ///< `Started` is on a majority before the engine is called.
  bool firstResultWins = true;      ///< A second result of an item is ignored.
  bool runEpochFence = true;        ///< Messages of an older run are rejected.
  bool acceptAfterMajority = true;  ///< A submission is acknowledged only once it is durable.
  bool confirmNotFound = true;      ///< "No such batch" is proved with a majority.
  bool unknownAfterLostRun =
      true;  ///< Started items of a lost run that are not idempotent never rerun.
  bool cancelStopsStarts = true;       ///< A cancelled batch starts no item.
  bool rebuildQuotaFromOwners = true;  ///< A new quota owner queries all owners before it grants.
  bool proveQuotaOwnership = true;     ///< A quota owner proves its ownership before it grants.
};

}  // namespace shedshed

/// @file
/// Switches that mutation tests turn off to show that each rule is needed. No daemon sets them.
#pragma once

namespace shedshed {

/// Rules of the batch services; all on outside of tests and the simulator.
struct BatchSafeguards {
  bool startedBeforeRun = true;     ///< `Started` is on a majority before the engine is called.
  bool firstResultWins = true;      ///< A second result of an item is ignored.
  bool runEpochFence = true;        ///< Messages of an older run are refused.
  bool acceptAfterMajority = true;  ///< A submission is acknowledged only once it is durable.
  bool confirmNotFound = true;      ///< "No such batch" is proved with a majority.
  bool unknownAfterLostRun = true;  ///< Unrepeatable started items of a lost run never run again.
  bool cancelStopsStarts = true;    ///< A cancelled batch starts no item.
  bool askOwnersOfTokens = true;    ///< A new ledger of waiting tokens asks all owners first.
  bool proveTokenGrants = true;     ///< A reservation of tokens is proved to be the ledger's.
};

}  // namespace shedshed

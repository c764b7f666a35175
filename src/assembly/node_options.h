/// @file
/// Options of a node's cores, independent of the process or simulator that hosts them.
#pragma once

#include "batch/batch_safeguards.h"
#include "membership/directory.h"
#include "membership/directory_core.h"
#include "partition/partition_options.h"
#include "register/register_options.h"
#include "slots/lending_core.h"
#include "slots/pool_rates.h"
#include "slots/slot_client_core.h"
#include "slots/slot_safeguards.h"

#include <string>
#include <vector>

namespace shedshed {

/// The safeguards of all modules. All are on by default; no daemon can change them. The simulator
/// disables one to show that its invariants detect the fault.
struct Safeguards {
  RegisterSafeguards registers;
  PartitionSafeguards partitions;
  SlotSafeguards slots;
  BatchSafeguards batches;
};

/// Time-outs and limits of batches that depend on the deployment.
struct BatchOptions {
  Duration requestDeadline = std::chrono::seconds(10);  ///< Of a caller's batch call.
  Duration retryDelay = std::chrono::seconds(2);        ///< See `BatchRunnerOptions`.
  std::uint32_t maxItemsInFlightPerBatch = 16;          ///< See `BatchRunnerOptions`.
  std::uint32_t maxItemsInFlight = 64;                  ///< See `BatchRunnerOptions`.
  std::uint32_t maxEngineCallsPerItem = 3;              ///< See `BatchRunnerOptions`.
};

/// Identity, seeds and module options of a node.
struct NodeOptions {
  NodeInfo self;              ///< Id, role, zone and addresses.
  std::vector<NodeId> seeds;  ///< Internal addresses of other processes.
  Safeguards safeguards;
  BatchOptions batches;
  Duration storeDeadline = kStoreDeadline;  ///< See `SlotClientOptions`.
  DirectoryOptions directory;
  LendingOptions lending;
};

}  // namespace shedshed

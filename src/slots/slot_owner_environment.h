/// @file
/// Dependencies shared by the components of a slot owner: the services of its node, and its
/// options.
#pragma once

#include "engines/engine_table.h"
#include "kernel/core.h"
#include "membership/directory.h"
#include "partition/partition_store.h"
#include "slots/pool_rates.h"
#include "slots/recovery_windows.h"
#include "slots/slot_safeguards.h"

namespace shedshed {

struct SlotOwnerOptions {
  SlotSafeguards safeguards;
  Duration directorySettle = kDirectorySettle;  ///< See `kDirectorySettle`.
};

/// References to the services of the node; all outlive the slot owner. Holds no state of the owner.
struct SlotOwnerEnvironment {
  CoreContext& context;
  PartitionStore& store;
  const PoolRateSource& rates;
  const EngineSource& engines;
  const Directory& directory;
  const SlotOwnerOptions options;
};

}  // namespace shedshed

/// @file
/// The cores of a control node: registers, and on store nodes the partitions.
#pragma once

#include "assembly/node_options.h"
#include "batch/batch_owner_core.h"
#include "batch/queued_token_quota.h"
#include "engines/engine_health_checker_core.h"
#include "engines/engine_list_core.h"
#include "kernel/core_host.h"
#include "membership/directory_core.h"
#include "partition/partition_core.h"
#include "register/configuration_core.h"
#include "register/register_core.h"
#include "slots/lending_core.h"
#include "slots/pool_rates.h"
#include "slots/slot_owner_core.h"

#include <memory>

namespace shedshed {

/// The cores that only store nodes have.
struct StoreCores {
  StoreCores(CoreHost& host, const NodeOptions& options, DirectoryCore& directory,
             ConfigurationCore& configuration, EngineSource& engines);

  PartitionCore partitions;
  SettingsPoolRates rates;
  SlotOwnerCore slots;
  LendingCore lending;
  BatchOwnerCore batches;
  QueuedTokenQuota queuedTokens;
};

/// Builds the cores and attaches them to the host, which must outlive them.
struct ControlCores {
  /// With @p listing, engines come from that listing source, which only register nodes read;
  /// without it they come from the `engines` register and are health-checked by the data nodes.
  ControlCores(CoreHost& host, const NodeOptions& options, ListingSource* listing = nullptr);

  EngineSource& engines();

  DirectoryCore directory;
  RegisterCore registers;
  ConfigurationCore configuration;
  std::unique_ptr<EngineHealthCheckerCore> engineHealthChecker;  ///< Null with a listing source.
  std::unique_ptr<EngineListCore> engineList;                    ///< Null without one.
  std::unique_ptr<StoreCores> store;                             ///< Null on register nodes.
};

}  // namespace shedshed

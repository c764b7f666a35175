/// @file
/// The cores of a data node.
#pragma once

#include "assembly/node_options.h"
#include "batch/batch_client_core.h"
#include "batch/batch_runner_core.h"
#include "engines/engine_health_checker_core.h"
#include "engines/engine_list_core.h"
#include "kernel/core_host.h"
#include "membership/directory_core.h"
#include "partition/owner_locator.h"
#include "register/configuration_core.h"
#include "register/register_core.h"
#include "slots/slot_client_core.h"

#include <memory>

namespace shedshed {

/// Builds the cores and attaches them to the host, which must outlive them.
struct DataCores {
  /// Without a @p probe, engines come from the listing that the register nodes read; with one, from
  /// the `engines` register, health-checked with the probe, which must outlive the cores.
  DataCores(CoreHost& host, const NodeOptions& options, EngineProbe* probe);

  EngineSource& engines();

  /// Adds the batch runner. Called once, before the host starts. @p engineRunner must outlive it.
  void addRunner(CoreHost& host, EngineRunner& engineRunner);

  DirectoryCore directory;
  RegisterCore registers;
  ConfigurationCore configuration;
  std::unique_ptr<EngineHealthCheckerCore> engineHealthChecker;  ///< Null without a probe.
  std::unique_ptr<EngineListCore> engineList;                    ///< Null with one.
  OwnerLocator locator;
  SlotClientCore slots;
  BatchClientCore batches;
  std::unique_ptr<BatchRunnerCore> runner;

 private:
  const NodeOptions options_;
};

}  // namespace shedshed

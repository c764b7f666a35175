#include "assembly/control_cores.h"

namespace shedshed {
namespace {

RegisterOptions registerOptions(const NodeOptions& options) {
  RegisterOptions registers;
  registers.hasDisk = !options.self.storeId.empty();
  registers.storeId = options.self.storeId;
  registers.safeguards = options.safeguards.registers;
  return registers;
}

ConfigurationOptions configurationOptions(const NodeOptions& options) {
  ConfigurationOptions configuration;
  configuration.seeds = options.seeds;
  configuration.isControl = true;
  return configuration;
}

SlotOwnerOptions slotOwnerOptions(const NodeOptions& options) {
  SlotOwnerOptions slots;
  slots.safeguards = options.safeguards.slots;
  slots.directorySettle = kDirectorySettleIntervals * options.directory.pingInterval;
  return slots;
}

BatchOwnerOptions batchOptions(const NodeOptions& options) {
  BatchOwnerOptions batches;
  batches.safeguards = options.safeguards.batches;
  return batches;
}

}  // namespace

StoreCores::StoreCores(CoreHost& host, const NodeOptions& options, DirectoryCore& directory,
                       ConfigurationCore& configuration, EngineSource& engines)
    : partitions(host.context(ServiceId::Partition), directory, configuration,
                 PartitionOptions{options.self.storeId, options.safeguards.partitions}),
      rates(configuration), slots(host.context(ServiceId::SlotOwner), partitions, rates, engines,
                                  directory, slotOwnerOptions(options)),
      lending(host.context(ServiceId::Lending), partitions, rates, engines, directory,
              options.lending),
      batches(host.context(ServiceId::BatchOwner), partitions, configuration, directory,
              batchOptions(options)),
      queuedTokens(host.context(ServiceId::WaitingTokens), partitions, configuration, directory,
                   options.safeguards.batches) {
  partitions.setListener(TableKind::Slots, slots);
  partitions.setListener(TableKind::Batches, batches);
  host.attach(ServiceId::Partition, partitions);
  host.attach(ServiceId::SlotOwner, slots);
  host.attach(ServiceId::Lending, lending);
  host.attach(ServiceId::BatchOwner, batches);
  host.attach(ServiceId::WaitingTokens, queuedTokens);
}

ControlCores::ControlCores(CoreHost& host, const NodeOptions& options, ListingSource* listing)
    : directory(host.context(ServiceId::Directory), options.self, options.seeds, options.directory),
      registers(host.context(ServiceId::Register), registerOptions(options)),
      configuration(host.context(ServiceId::Configuration), &directory, registers,
                    configurationOptions(options)) {
  registers.setConfigurationSource(configuration);
  host.attach(ServiceId::Directory, directory);
  host.attach(ServiceId::Register, registers);
  host.attach(ServiceId::Configuration, configuration);
  if (listing != nullptr) {
    const bool reads = options.self.role == NodeRole::Register;
    engineList = std::make_unique<EngineListCore>(host.context(ServiceId::EngineList), directory,
                                                  reads ? listing : nullptr);
    host.attach(ServiceId::EngineList, *engineList);
  } else {
    engineHealthChecker = std::make_unique<EngineHealthCheckerCore>(
        host.context(ServiceId::EngineWatch), directory, directory, configuration, nullptr);
    host.attach(ServiceId::EngineWatch, *engineHealthChecker);
  }
  if (options.self.role == NodeRole::Store) {
    store = std::make_unique<StoreCores>(host, options, directory, configuration, engines());
  }
}

EngineSource& ControlCores::engines() {
  if (engineList) {
    return *engineList;
  }
  return *engineHealthChecker;
}

}  // namespace shedshed

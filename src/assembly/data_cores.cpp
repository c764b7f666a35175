#include "assembly/data_cores.h"

namespace shedshed {
namespace {

RegisterOptions registerOptions(const NodeOptions& options) {
  RegisterOptions registers;
  registers.safeguards = options.safeguards.registers;
  return registers;
}

ConfigurationOptions configurationOptions(const NodeOptions& options) {
  ConfigurationOptions configuration;
  configuration.seeds = options.seeds;
  return configuration;
}

SlotClientOptions slotOptions(const NodeOptions& options) {
  SlotClientOptions slots;
  slots.safeguards = options.safeguards.slots;
  slots.storeDeadline = options.storeDeadline;
  return slots;
}

BatchClientOptions batchOptions(const NodeOptions& options) {
  BatchClientOptions batches;
  batches.deadline = options.batches.requestDeadline;
  return batches;
}

BatchRunnerOptions runnerOptions(const NodeOptions& options) {
  BatchRunnerOptions runner;
  runner.retryDelay = options.batches.retryDelay;
  runner.maxItemsInFlightPerBatch = options.batches.maxItemsInFlightPerBatch;
  runner.maxItemsInFlight = options.batches.maxItemsInFlight;
  runner.maxEngineCallsPerItem = options.batches.maxEngineCallsPerItem;
  return runner;
}

}  // namespace

DataCores::DataCores(CoreHost& host, const NodeOptions& options, EngineProbe* probe)
    : directory(host.context(ServiceId::Directory), options.self, options.seeds, options.directory),
      registers(host.context(ServiceId::Register), registerOptions(options)),
      configuration(host.context(ServiceId::Configuration), &directory, registers,
                    configurationOptions(options)),
      locator(directory, configuration),
      slots(host.context(ServiceId::SlotClient), locator, slotOptions(options)),
      batches(host.context(ServiceId::BatchClient), locator, batchOptions(options)),
      options_(options) {
  registers.setConfigurationSource(configuration);
  host.attach(ServiceId::Directory, directory);
  host.attach(ServiceId::Register, registers);
  host.attach(ServiceId::Configuration, configuration);
  if (probe != nullptr) {
    engineHealthChecker = std::make_unique<EngineHealthCheckerCore>(
        host.context(ServiceId::EngineWatch), directory, directory, configuration, probe);
    host.attach(ServiceId::EngineWatch, *engineHealthChecker);
  } else {
    engineList =
        std::make_unique<EngineListCore>(host.context(ServiceId::EngineList), directory, nullptr);
    host.attach(ServiceId::EngineList, *engineList);
  }
  host.attach(ServiceId::SlotClient, slots);
  host.attach(ServiceId::BatchClient, batches);
}

EngineSource& DataCores::engines() {
  if (engineList) {
    return *engineList;
  }
  return *engineHealthChecker;
}

void DataCores::addRunner(CoreHost& host, EngineRunner& engineRunner) {
  runner = std::make_unique<BatchRunnerCore>(host.context(ServiceId::BatchRunner), locator, slots,
                                             engineRunner, configuration, runnerOptions(options_));
  host.attach(ServiceId::BatchRunner, *runner);
}

}  // namespace shedshed

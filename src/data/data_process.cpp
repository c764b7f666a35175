#include "data/data_process.h"

#include "process/node_status.h"
#include "process/settings_publisher.h"
#include "process/signals.h"
#include "runtime/logging.h"

namespace shedshed {
namespace {

constexpr std::size_t kServingThreads = 2;

/// Calls that are still running this long after the stop signal are aborted.
constexpr std::chrono::seconds kDrainTimeout{20};

/// Longest wait, after the last call, for the owners to acknowledge the return of slots and
/// batches. With `kDrainTimeout` it must fit into the platform's termination notice of 25 s.
constexpr std::chrono::seconds kReturnTimeout{3};

/// Time for the announcement that this node is draining to reach the other nodes.
constexpr std::chrono::milliseconds kDrainAnnouncementDelay{300};

/// Interval of the checks for the end of the last call while draining.
constexpr std::chrono::milliseconds kDrainPollInterval{20};

NodeOptions nodeOptions(const ProcessSettings& settings) {
  NodeOptions options;
  options.self = describeSelf(settings, "");
  options.seeds = settings.seeds;
  return options;
}

}  // namespace

DataProcess::DataProcess(const ProcessSettings& settings, const ProcessKeys& keys)
    : settings_(settings), process_(settings, keys, nullptr), executor_(process_.runtime()),
      servingMetrics_(process_.metrics()), probe_(threads_, executor_),
      cores_(process_.runtime(), nodeOptions(settings), &probe_), settingsTree_(nullptr),
      journal_(&monotonicNow),
      engineClient_(threads_, executor_, cores_.engines(), router_, servingMetrics_),
      engineRunner_(threads_, executor_, engineClient_, settingsTree_),
      servingServices_{threads_,
                       executor_,
                       settingsTree_,
                       cores_.configuration,
                       cores_.slots,
                       cores_.batches,
                       engineClient_,
                       servingMetrics_,
                       [this] { return process_.metrics().text(); }},
      callers_(servingServices_, settings.clientAddress), operatorServices_{cores_.registers} {
  cores_.addRunner(process_.runtime(), engineRunner_);
  cores_.configuration.subscribe(kSettingsRegister, [this](const RegisterValue& value) {
    publishSettings(value, settingsTree_);
  });
  servingServices_.journal = &journal_;
  engineClient_.setJournal(journal_);
  operatorServices_.explainCall = [this](const std::string& id) { return journal_.explain(id); };
  operatorServices_.checkEngines = &checkEngineListing;
  operatorServices_.status = [this] { return status(); };
  operatorServices_.metrics = [this] { return process_.metrics().text(); };
}

NodeStatus DataProcess::status() {
  NodeStatus status = describeNode(settings_, cores_.configuration, cores_.directory);
  status.engines = cores_.engines().table();
  status.ready = checkReady(servingServices_);
  return status;
}

int DataProcess::run() {
  threads_.start(kServingThreads);
  const Status started = process_.start(operatorServices_);
  const Status listening = started ? callers_.start() : started;
  if (!listening) {
    logError("process", listening.error());
    threads_.stop();
    process_.stop();
    return 1;
  }
  logInfo("process", "serving as " + settings_.internalAddress.address);
  waitForStopSignal();
  drain();
  threads_.stop();
  process_.stop();
  return 0;
}

void DataProcess::drain() {
  logInfo("process", "draining");
  callers_.setDraining(true);
  process_.runtime().runAndWait([this] {
    cores_.directory.announceDraining(true);
    cores_.runner->drain();
  });
  waitForStopSignal(kDrainAnnouncementDelay);
  const Time deadline = monotonicNow() + kDrainTimeout;
  while (!idle() && monotonicNow() < deadline) {
    waitForStopSignal(kDrainPollInterval);
  }
  const bool drained = idle();
  const Time returnDeadline = monotonicNow() + kReturnTimeout;
  while (drained && !slotsAndRunsReturned() && monotonicNow() < returnDeadline) {
    waitForStopSignal(kDrainPollInterval);
  }
  if (drained && !slotsAndRunsReturned()) {
    process_.runtime().runAndWait([this] {
      logInfo("process", cores_.runner->allRunsReturned() ? "not all slots were released"
                                                          : "not all batch runs were returned");
    });
  }
  callers_.stopAccepting();
  logInfo("process", drained ? "drained" : "stopping with calls still running");
}

bool DataProcess::slotsAndRunsReturned() {
  bool done = false;
  process_.runtime().runAndWait(
      [this, &done] { done = cores_.runner->allRunsReturned() && cores_.slots.idle(); });
  return done;
}

bool DataProcess::idle() {
  bool runnerIdle = false;
  process_.runtime().runAndWait([this, &runnerIdle] { runnerIdle = cores_.runner->idle(); });
  return runnerIdle && callers_.activeCalls() == 0;
}

}  // namespace shedshed

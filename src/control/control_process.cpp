#include "control/control_process.h"

#include "engines/engine_listing.h"
#include "process/node_status.h"
#include "process/signals.h"
#include "register/fleet_bootstrap.h"
#include "runtime/logging.h"

namespace shedshed {
namespace {

/// Time for the announcement that this node is draining to reach the other nodes.
constexpr std::chrono::milliseconds kDrainAnnouncementDelay{300};

/// Longest wait for other stores to take over the partitions of this store.
constexpr std::chrono::seconds kHandoverTimeout{10};

/// Interval of the checks for the end of the handover.
constexpr std::chrono::milliseconds kHandoverPollInterval{20};

NodeOptions nodeOptions(const ProcessSettings& settings, const std::string& storeId) {
  NodeOptions options;
  options.self = describeSelf(settings, storeId);
  options.seeds = settings.seeds;
  return options;
}

}  // namespace

StoreProgress RegisterStoreAdmission::progress() const {
  const RepairProgress repair = partitions_.repairProgress();
  return StoreProgress{repair.isMember, repair.caughtUp, repair.countedAsReplica, repair.total};
}

ControlProcess::ControlProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                               LogStructuredStore* logStore)
    : settings_(settings), process_(settings, keys, logStore),
      cores_(process_.runtime(),
             nodeOptions(settings, logStore == nullptr ? std::string() : logStore->storeId())),
      forming_(cores_.registers,
               static_cast<std::uint32_t>(membersNeeded(settings.toleratedLosses))),
      services_{cores_.registers} {
  services_.fleetForming = &forming_;
  services_.checkEngines = &checkEngineListing;
  services_.status = [this] { return status(); };
  services_.metrics = [this] { return process_.metrics().text(); };
  if (cores_.store) {
    addStoreServices();
  }
}

void ControlProcess::addStoreServices() {
  StoreCores& store = *cores_.store;
  admission_ = std::make_unique<RegisterStoreAdmission>(settings_.internalAddress, cores_.registers,
                                                        store.partitions);
  services_.storeAdmission = admission_.get();
  batches_ = std::make_unique<OwnerBatchAdmin>(store.batches);
  services_.batches = batches_.get();
  services_.slots = [&store] {
    SlotExplanation explanation{store.slots.explain(), {}};
    for (const auto& model : store.lending.explain()) {
      explanation.lending.push_back(model.second);
    }
    return explanation;
  };
}

NodeStatus ControlProcess::status() {
  NodeStatus status = describeNode(settings_, cores_.configuration, cores_.directory);
  status.engines = cores_.engines().table();
  if (draining_) {
    status.ready = makeError(ErrorCode::Draining, "this node is shutting down");
  }
  if (cores_.store) {
    status.epochs = describePartitions(cores_.store->partitions);
    status.store = admission_->progress();
  }
  return status;
}

int ControlProcess::run() {
  const Status started = process_.start(services_);
  if (!started) {
    logError("process", started.error());
    return 1;
  }
  logInfo("process", "serving as " + settings_.internalAddress.address);
  waitForStopSignal();
  drain();
  process_.stop();
  return 0;
}

void ControlProcess::drain() {
  logInfo("process", "draining");
  process_.runtime().runAndWait([this] {
    draining_ = true;
    cores_.directory.announceDraining(true);
  });
  waitForStopSignal(kDrainAnnouncementDelay);
  const Time deadline = monotonicNow() + kHandoverTimeout;
  bool done = ownershipReleased();
  while (!done && monotonicNow() < deadline) {
    waitForStopSignal(kHandoverPollInterval);
    done = ownershipReleased();
  }
  logInfo("process", done ? "drained" : "stopping while partitions are still owned");
}

bool ControlProcess::ownershipReleased() {
  bool done = true;
  process_.runtime().runAndWait(
      [this, &done] { done = !cores_.store || cores_.store->partitions.ownershipTransferred(); });
  return done;
}

}  // namespace shedshed

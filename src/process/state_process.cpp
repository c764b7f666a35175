#include "process/state_process.h"

#include "process/signals.h"
#include "runtime/logging.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr Duration kStopMargin = std::chrono::milliseconds(1200);
/// Time for the announcement that this node drains to reach the others.
constexpr std::chrono::milliseconds kDrainNotice{300};
constexpr std::chrono::milliseconds kHandOverPoll{50};

constexpr std::uint64_t kMegabyte = 1U << 20U;
/// Files of a ring on a small disk: two of them hold no live records, so many small ones waste
/// less. A file holds the largest record, settings of 4 MiB, completely.
constexpr std::uint64_t kSmallDiskFiles = 16;
constexpr std::uint64_t kMinFileOfSmallDisk = 5 * kMegabyte;
/// Files of a disk that is too small even for that.
constexpr std::uint64_t kTinyDiskFiles = 4;
constexpr std::uint64_t kMaxFileBytes = 16 * kMegabyte;
/// Bounds what a restart reads.
constexpr std::uint64_t kMaxRingFiles = 12;
/// Share of the disk that the ring takes, in percent.
constexpr std::uint64_t kDiskPercent = 75;

}  // namespace

RingKnobs ringKnobsFor(std::uint32_t diskMegabytes) {
  RingKnobs knobs;
  const std::uint64_t capacity = diskMegabytes * kMegabyte * kDiskPercent / 100;
  if (diskMegabytes == 0) {
    return knobs;
  }
  if (capacity >= knobs.fileBytes * knobs.fileCount) {
    knobs.fileCount = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(capacity / knobs.fileBytes, kMaxRingFiles));
    return knobs;
  }
  std::uint64_t files = std::min(capacity / kMinFileOfSmallDisk, kSmallDiskFiles);
  files = std::max(files, kTinyDiskFiles);
  knobs.fileCount = static_cast<std::uint32_t>(files);
  knobs.fileBytes =
      std::clamp(capacity / files / kMegabyte, std::uint64_t{1}, kMaxFileBytes / kMegabyte) *
      kMegabyte;
  return knobs;
}

StateProcess::StateProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                           RecordRing* ring)
    : settings_(settings), storeId_(ring == nullptr ? std::string() : ring->storeId()),
      node_(settings, keys, ring) {}

void StateProcess::assemble(ListingSource& listing) {
  const NodeOptions options = eventLoopOptions(settings_, storeId_);
  cores_ = std::make_unique<ControlCores>(node_.runtime, options, &listing);
  settingsVersions_ = std::make_unique<SettingsVersions>(cores_->registers);
  if (settings_.firstStart && settings_.role == ControlRole::Register) {
    FleetBootstrapOptions bootstrap;
    bootstrap.toleratedLosses = settings_.toleratedLosses;
    bootstrap_ = std::make_unique<FleetBootstrapCore>(node_.runtime.context(ServiceId::Bootstrap),
                                                      cores_->registers, cores_->directory,
                                                      options.seeds, bootstrap);
    node_.runtime.attach(ServiceId::Bootstrap, *bootstrap_);
  }
  assembleAdmission();
}

void StateProcess::assembleAdmission() {
  retirements_ =
      std::make_unique<Retirements>(cores_->registers, cores_->configuration, cores_->directory);
  if (storeId_.empty()) {
    return;
  }
  auto holdsAllData = [] { return true; };
  auto places = [] { return std::vector<NodeId>(); };
  std::function<bool()> mayBeCounted = holdsAllData;
  std::function<std::vector<NodeId>()> placesToTake = places;
  auto kind = SelfAdmissionCore::Kind::Acceptor;
  if (cores_->store) {
    PartitionCore& partitions = cores_->store->partitions;
    kind = SelfAdmissionCore::Kind::Store;
    mayBeCounted = [&partitions] { return partitions.repairProgress().complete(); };
    successor_ = std::make_unique<SuccessorCore>(
        node_.runtime.context(ServiceId::Succession), cores_->registers, cores_->directory,
        *retirements_, mayBeCounted,
        [&partitions] { return partitions.repairProgress().replacementComplete(); });
    node_.runtime.attach(ServiceId::Succession, *successor_);
    placesToTake = [this] { return successor_->placesToTake(); };
  }
  SelfAdmissionOptions admission;
  admission.acceptorsNeeded = membersNeeded(settings_.toleratedLosses);
  admission_ = std::make_unique<SelfAdmissionCore>(
      node_.runtime.context(ServiceId::Admission), cores_->registers, cores_->directory, kind,
      storeId_, mayBeCounted, placesToTake, [this] { return retirements_->nodes(); }, admission);
  node_.runtime.attach(ServiceId::Admission, *admission_);
}

int StateProcess::run(const Starter& start) {
  return node_.run(start, [this] { drain(); });
}

void StateProcess::drain() {
  node_.runtime.runAndWait([this] {
    draining_ = true;
    cores_->directory.announceDraining(true);
  });
  waitForStopSignal(kDrainNotice);
  const Time deadline = monotonicNow() + settings_.stopWarning - kStopMargin - kDrainNotice;
  const bool done =
      EventLoopNode::pollUntil(deadline, kHandOverPoll, [this] { return handedOver(); });
  logInfo("process", done ? "drained" : "stopping while partitions are still owned");
}

bool StateProcess::handedOver() {
  bool done = true;
  node_.runtime.runAndWait(
      [this, &done] { done = !cores_->store || cores_->store->partitions.handedOver(); });
  return done;
}

}  // namespace shedshed

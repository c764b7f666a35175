#include "process/state_process.h"

#include "process/process_join_conditions.h"
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

LogStoreOptions ringKnobsFor(std::uint32_t diskMegabytes) {
  LogStoreOptions knobs;
  const std::uint64_t capacity = diskMegabytes * kMegabyte * kDiskPercent / 100;
  if (diskMegabytes == 0) {
    return knobs;
  }
  if (capacity >= knobs.segmentBytes * knobs.segmentCount) {
    knobs.segmentCount = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(capacity / knobs.segmentBytes, kMaxRingFiles));
    return knobs;
  }
  std::uint64_t files = std::min(capacity / kMinFileOfSmallDisk, kSmallDiskFiles);
  files = std::max(files, kTinyDiskFiles);
  knobs.segmentCount = static_cast<std::uint32_t>(files);
  knobs.segmentBytes =
      std::clamp(capacity / files / kMegabyte, std::uint64_t{1}, kMaxFileBytes / kMegabyte) *
      kMegabyte;
  return knobs;
}

StateProcess::StateProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                           LogStructuredStore* ring)
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
  assembleMembershipJoin();
}

void StateProcess::assembleMembershipJoin() {
  retirements_ =
      std::make_unique<Retirements>(cores_->registers, cores_->configuration, cores_->directory);
  if (storeId_.empty()) {
    return;
  }
  auto kind = MembershipJoinCore::Kind::Acceptor;
  if (cores_->store) {
    kind = MembershipJoinCore::Kind::Store;
    replicas_ = std::make_unique<PartitionReplicaStatus>(cores_->store->partitions);
    successor_ = std::make_unique<SuccessorCore>(node_.runtime.context(ServiceId::Succession),
                                                 cores_->registers, cores_->directory,
                                                 *retirements_, *replicas_);
    node_.runtime.attach(ServiceId::Succession, *successor_);
  }
  joinConditions_ =
      std::make_unique<ProcessJoinConditions>(replicas_.get(), successor_.get(), *retirements_);
  MembershipJoinOptions join;
  join.acceptorsNeeded = membersNeeded(settings_.toleratedLosses);
  join_ = std::make_unique<MembershipJoinCore>(node_.runtime.context(ServiceId::MembershipJoin),
                                               cores_->registers, cores_->directory, kind, storeId_,
                                               *joinConditions_, join);
  node_.runtime.attach(ServiceId::MembershipJoin, *join_);
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
  const Time deadline = monotonicNow() + settings_.shutdownGracePeriod - kStopMargin - kDrainNotice;
  const bool done =
      EventLoopNode::pollUntil(deadline, kHandOverPoll, [this] { return handedOver(); });
  logInfo("process", done ? "drained" : "stopping while partitions are still owned");
}

bool StateProcess::handedOver() {
  bool done = true;
  node_.runtime.runAndWait(
      [this, &done] { done = !cores_->store || cores_->store->partitions.ownershipTransferred(); });
  return done;
}

}  // namespace shedshed

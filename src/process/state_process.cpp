#include "process/state_process.h"

#include "process/process_join_conditions.h"
#include "process/signals.h"
#include "runtime/logging.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr Duration kShutdownMargin = std::chrono::milliseconds(1200);
/// Time for the announcement that this node is draining to reach the other nodes.
constexpr std::chrono::milliseconds kDrainAnnouncementDelay{300};
constexpr std::chrono::milliseconds kHandoverPollInterval{50};

constexpr std::uint64_t kMegabyte = 1U << 20U;
/// Segments on a small disk: two of them hold no live records, so many small segments waste less.
/// A segment must hold the largest record, settings of 4 MiB.
constexpr std::uint64_t kSmallDiskMaxSegments = 16;
constexpr std::uint64_t kSmallDiskMinSegmentBytes = 5 * kMegabyte;
/// Segments on a disk that is too small for segments of `kSmallDiskMinSegmentBytes`.
constexpr std::uint64_t kMinSegments = 4;
constexpr std::uint64_t kMaxSegmentBytes = 16 * kMegabyte;
/// Limits the data that a restart reads.
constexpr std::uint64_t kMaxSegments = 12;
/// Share of the disk that the log store uses, in percent.
constexpr std::uint64_t kDiskPercent = 75;

}  // namespace

LogStoreOptions logStoreOptionsFor(std::uint32_t diskMegabytes) {
  LogStoreOptions options;
  const std::uint64_t capacity = diskMegabytes * kMegabyte * kDiskPercent / 100;
  if (diskMegabytes == 0) {
    return options;
  }
  if (capacity >= options.segmentBytes * options.segmentCount) {
    options.segmentCount = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(capacity / options.segmentBytes, kMaxSegments));
    return options;
  }
  std::uint64_t segments = std::min(capacity / kSmallDiskMinSegmentBytes, kSmallDiskMaxSegments);
  segments = std::max(segments, kMinSegments);
  options.segmentCount = static_cast<std::uint32_t>(segments);
  options.segmentBytes =
      std::clamp(capacity / segments / kMegabyte, std::uint64_t{1}, kMaxSegmentBytes / kMegabyte) *
      kMegabyte;
  return options;
}

StateProcess::StateProcess(const ProcessSettings& settings, const ProcessKeys& keys,
                           LogStructuredStore* logStore)
    : settings_(settings), storeId_(logStore == nullptr ? std::string() : logStore->storeId()),
      node_(settings, keys, logStore) {}

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
  waitForStopSignal(kDrainAnnouncementDelay);
  const Time deadline =
      monotonicNow() + settings_.shutdownGracePeriod - kShutdownMargin - kDrainAnnouncementDelay;
  const bool done = EventLoopNode::pollUntil(deadline, kHandoverPollInterval,
                                             [this] { return ownershipReleased(); });
  logInfo("process", done ? "drained" : "stopping while partitions are still owned");
}

bool StateProcess::ownershipReleased() {
  bool done = true;
  node_.runtime.runAndWait(
      [this, &done] { done = !cores_->store || cores_->store->partitions.ownershipTransferred(); });
  return done;
}

}  // namespace shedshed

#include "engines/engine_health_checker_core.h"

#include "engines/health_check_assignment.h"
#include "kernel/message.h"

#include <utility>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;
constexpr TimerId kReportTimer = 2;
constexpr TimerId kRebuildTimer = 3;
constexpr TimerId kSuspicionTimer = 4;

}  // namespace

EngineHealthCheckerCore::EngineHealthCheckerCore(CoreContext& context, Directory& directory,
                                                 GossipTopics& gossip,
                                                 ConfigurationSource& configuration,
                                                 EngineProbe* probe,
                                                 EngineHealthCheckerOptions options)
    : context_(context), directory_(directory), gossip_(gossip), configuration_(configuration),
      probe_(probe), options_(options), table_(context, kRebuildTimer, options.minRebuildInterval),
      checked_(options_), verification_(options_), publisher_(context, gossip) {}

void EngineHealthCheckerCore::start() {
  directory_.addListener([this](const NodeTable& nodes) { table_.updateDeadCheckers(nodes); });
  gossip_.subscribe(kEngineTopic, [this](const NodeId& origin, const GossipVersion&,
                                         const std::string& bytes) { adoptReport(origin, bytes); });
  configuration_.subscribe(kEnginesRegister,
                           [this](const RegisterValue& value) { setListing(value); });
  // Random phase, so that the checkers of an engine check it at different times.
  const auto interval = static_cast<std::uint64_t>(options_.checkInterval.count());
  context_.startTimer(kCheckTimer, Duration(1 + context_.random()() % interval));
  if (probe_ != nullptr) {
    context_.startTimer(kSuspicionTimer, options_.suspicionInterval);
  }
}

void EngineHealthCheckerCore::receive(const NodeId& from, const Message& message) {
  (void)from;
  (void)message;
}

void EngineHealthCheckerCore::timerExpired(TimerId timer) {
  switch (timer) {
  case kCheckTimer:
    context_.startTimer(kCheckTimer, options_.checkInterval);
    checkEngines();
    break;
  case kReportTimer:
    reportScheduled_ = false;
    publishReport();
    break;
  case kRebuildTimer:
    table_.rebuild();
    break;
  case kSuspicionTimer:
    context_.startTimer(kSuspicionTimer, options_.suspicionInterval);
    checkForSuspicion();
    break;
  default:
    break;
  }
}

void EngineHealthCheckerCore::addListener(std::function<void(const EngineTable&)> listener) {
  table_.addListener(std::move(listener));
}

// ---- Listing and results of other nodes

void EngineHealthCheckerCore::setListing(const RegisterValue& value) {
  if (value.version == 0) {
    return;
  }
  Result<EngineListing> listing = parseEngineListing(value.value);
  if (!listing) {
    // Operator calls validate a listing before they propose it; keep the last valid one.
    context_.counters().add("engine_listings_refused_total");
    return;
  }
  table_.setListing(std::move(listing).value());
}

void EngineHealthCheckerCore::adoptReport(const NodeId& origin, const std::string& bytes) {
  Result<EngineHealthReport> report = decodeRecord<EngineHealthReport>(bytes);
  table_.setReport(origin, report ? std::move(report).value() : EngineHealthReport(),
                   *directory_.table());
}

// ---- Suspicion

void EngineHealthCheckerCore::checkForSuspicion() {
  const Time now = context_.now();
  if (verification_.detectStall(now)) {
    context_.counters().add("engine_process_stalls_total");
    verifyAllEngines();
  }
  if (directory_.hasUnresponsivePeers()) {
    verifyAllEngines();
  }
  verification_.extendFreshness(now);
}

void EngineHealthCheckerCore::verifyAllEngines() {
  if (verification_.start(context_.now())) {
    context_.counters().add("engine_verifications_total");
    updateAssignments();
    sendHealthChecks();
  }
}

// ---- Health checks of this node

void EngineHealthCheckerCore::checkEngines() {
  table_.updateDeadCheckers(*directory_.table());
  table_.expireDeadCheckers(options_.deadCheckerExpiry);
  if (probe_ == nullptr) {
    return;
  }
  updateAssignments();
  if (checked_.markUnreachable(context_.now())) {
    publishReport();
  }
  const std::size_t listedEngines = table_.listing().engines.size();
  if (checked_.loadReportDue(publisher_.sinceLastReport(), listedEngines)) {
    publishReport();
  }
  sendHealthChecks();
}

void EngineHealthCheckerCore::updateAssignments() {
  const Time now = context_.now();
  const std::vector<NodeId> checkers = eligibleCheckers(*directory_.table());
  const bool verifyAll = verification_.active(now);
  if (checked_.assign(table_.listing(), context_.self(), checkers, verifyAll, now)) {
    publishReport();
  }
}

void EngineHealthCheckerCore::sendHealthChecks() {
  const std::uint64_t number = ++lastCheckNumber_;
  const std::weak_ptr<int> lifetime = lifetime_;
  for (const CheckedEngines::Target& target : checked_.targets()) {
    probe_->probe(target.address, [this, lifetime, target, number](const EngineHealth& health) {
      if (lifetime.lock() != nullptr) {
        onHealth(target, number, health);
      }
    });
  }
}

void EngineHealthCheckerCore::onHealth(const CheckedEngines::Target& target, std::uint64_t number,
                                       const EngineHealth& health) {
  if (checked_.recordHealth(target, number, health, context_.now())) {
    scheduleReport();
  }
}

void EngineHealthCheckerCore::scheduleReport() {
  if (!reportScheduled_) {
    reportScheduled_ = true;
    context_.startTimer(kReportTimer, options_.reportDelay);
  }
}

void EngineHealthCheckerCore::publishReport() {
  CheckedEngines::Reports reports = checked_.report();
  table_.setOwnReport(std::move(reports.own));
  publisher_.publish(reports.shared);
}

}  // namespace shedshed

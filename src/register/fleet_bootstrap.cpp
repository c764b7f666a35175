#include "register/fleet_bootstrap.h"

#include <algorithm>
#include <map>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;

/// Selects up to @p maxCount candidates, each time the first one of a zone with the fewest
/// selected.
std::vector<NodeId> selectAcrossZones(std::vector<const NodeInfo*> candidates,
                                      std::size_t maxCount) {
  std::vector<NodeId> selected;
  std::map<std::string, std::size_t> selectedPerZone;
  while (selected.size() < maxCount && !candidates.empty()) {
    const auto next = std::min_element(
        candidates.begin(), candidates.end(), [&](const auto* left, const auto* right) {
          return selectedPerZone[left->zone] < selectedPerZone[right->zone];
        });
    ++selectedPerZone[(*next)->zone];
    selected.push_back((*next)->id);
    candidates.erase(next);
  }
  return selected;
}

}  // namespace

FleetBootstrapCore::FleetBootstrapCore(CoreContext& context, RegisterCore& registers,
                                       const Directory& directory, std::vector<NodeId> seeds,
                                       FleetBootstrapOptions options)
    : context_(context), registers_(registers), directory_(directory), seeds_(std::move(seeds)),
      options_(options) {
  std::sort(seeds_.begin(), seeds_.end());
}

void FleetBootstrapCore::start() {
  startedAt_ = context_.now();
  unchangedSince_ = startedAt_;
  context_.startTimer(kCheckTimer, options_.checkInterval);
}

void FleetBootstrapCore::receive(const NodeId&, const Message&) {}

void FleetBootstrapCore::timerExpired(TimerId) {
  if (isFormed()) {
    return;
  }
  context_.startTimer(kCheckTimer, options_.checkInterval);
  if (!forming_ && mayForm()) {
    form();
  }
}

bool FleetBootstrapCore::mayForm() {
  const std::shared_ptr<const NodeTable> nodes = directory_.table();
  std::vector<NodeId> acceptors = chooseAcceptors(*nodes);
  std::vector<NodeId> stores = chooseStores(*nodes);
  if (stores != stores_ || acceptors != acceptors_) {
    stores_ = std::move(stores);
    acceptors_ = std::move(acceptors);
    unchangedSince_ = context_.now();
  }
  const bool isBeforeFallback = context_.now() - startedAt_ < options_.fallbackDelay;
  const bool isResponsible = context_.self() == seeds_.front() || !isBeforeFallback;
  const bool isStable =
      context_.now() - unchangedSince_ >= options_.stabilityPeriod && !stores_.empty();
  const bool hasEnoughAcceptors =
      acceptors_.size() >= membersNeeded(options_.toleratedLosses) || !isBeforeFallback;
  return isResponsible && isStable && hasEnoughAcceptors && seedsAreLive(*nodes);
}

bool FleetBootstrapCore::seedsAreLive(const NodeTable& nodes) const {
  return std::all_of(seeds_.begin(), seeds_.end(), [&](const NodeId& seed) {
    const NodeInfo* node = nodes.find(seed);
    return node != nullptr && node->state != NodeState::Dead;
  });
}

std::vector<NodeId> FleetBootstrapCore::chooseAcceptors(const NodeTable& nodes) const {
  std::vector<const NodeInfo*> candidates;
  for (const NodeInfo& node : nodes.nodes) {
    if (node.role == NodeRole::Register && node.state != NodeState::Dead && !node.storeId.empty()) {
      candidates.push_back(&node);
    }
  }
  std::stable_partition(candidates.begin(), candidates.end(), [this](const NodeInfo* node) {
    return std::binary_search(seeds_.begin(), seeds_.end(), node->id);
  });
  return selectAcrossZones(std::move(candidates), kMaxAcceptors);
}

std::vector<NodeId> FleetBootstrapCore::chooseStores(const NodeTable& nodes) const {
  std::vector<const NodeInfo*> stores;
  for (const NodeId& id : nodes.live(NodeRole::Store)) {
    stores.push_back(nodes.find(id));
  }
  const std::size_t storeCount = stores.size();
  return selectAcrossZones(std::move(stores), storeCount);
}

void FleetBootstrapCore::form() {
  forming_ = true;
  context_.logEvent(TraceEvent("FleetForming")
                        .field("acceptors", acceptors_.size())
                        .field("stores", stores_.size()));
  const std::size_t needed = membersNeeded(options_.toleratedLosses);
  const std::size_t present = std::min({acceptors_.size(), stores_.size(), needed});
  context_.counters().set("fleet_members_missing", static_cast<double>(needed - present));
  if (present < needed) {
    // The loss of fewer disks than the operator tolerates can lose data.
    context_.logEvent(TraceEvent("FleetUndersized", Severity::Warning)
                          .field("tolerated_losses", options_.toleratedLosses)
                          .field("members_needed", needed)
                          .field("members_present", present));
  }
  const auto replicas = static_cast<std::uint32_t>(needed);
  registers_.formFleet(acceptors_, stores_, replicas, [this](const Result<MemberList>& formed) {
    forming_ = false;
    context_.counters().add(formed ? "fleet_formed_total" : "fleet_formation_failures_total");
  });
}

}  // namespace shedshed

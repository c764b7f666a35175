#include "register/fleet_bootstrap.h"

#include <algorithm>
#include <map>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;

/// Returns up to @p most of the candidates, each time the first one of a zone that has given the
/// fewest.
std::vector<NodeId> takeFromZonesInTurn(std::vector<const NodeInfo*> candidates, std::size_t most) {
  std::vector<NodeId> taken;
  std::map<std::string, std::size_t> takenFrom;
  while (taken.size() < most && !candidates.empty()) {
    const auto next = std::min_element(candidates.begin(), candidates.end(),
                                       [&](const auto* left, const auto* right) {
                                         return takenFrom[left->zone] < takenFrom[right->zone];
                                       });
    ++takenFrom[(*next)->zone];
    taken.push_back((*next)->id);
    candidates.erase(next);
  }
  return taken;
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
  settledSince_ = startedAt_;
  context_.startTimer(kCheckTimer, options_.check);
}

void FleetBootstrapCore::receive(const NodeId&, const Message&) {}

void FleetBootstrapCore::timerExpired(TimerId) {
  if (isFormed()) {
    return;
  }
  context_.startTimer(kCheckTimer, options_.check);
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
    settledSince_ = context_.now();
  }
  const bool patient = context_.now() - startedAt_ < options_.patience;
  const bool mine = context_.self() == seeds_.front() || !patient;
  const bool settled = context_.now() - settledSince_ >= options_.settle && !stores_.empty();
  const bool enough = acceptors_.size() >= membersNeeded(options_.toleratedLosses) || !patient;
  return mine && settled && enough && seedsAreLive(*nodes);
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
  return takeFromZonesInTurn(std::move(candidates), kMostAcceptors);
}

std::vector<NodeId> FleetBootstrapCore::chooseStores(const NodeTable& nodes) const {
  std::vector<const NodeInfo*> stores;
  for (const NodeId& id : nodes.live(NodeRole::Store)) {
    stores.push_back(nodes.find(id));
  }
  const std::size_t all = stores.size();
  return takeFromZonesInTurn(std::move(stores), all);
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

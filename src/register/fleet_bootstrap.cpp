#include "register/fleet_bootstrap.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;

}  // namespace

FleetBootstrapCore::FleetBootstrapCore(CoreContext& context, RegisterCore& registers,
                                       const Directory& directory, std::vector<NodeId> acceptors,
                                       FleetBootstrapOptions options)
    : context_(context), registers_(registers), directory_(directory),
      acceptors_(std::move(acceptors)), options_(options) {
  std::sort(acceptors_.begin(), acceptors_.end());
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
  std::vector<NodeId> stores = nodes->live(NodeRole::Store);
  if (stores != stores_) {
    stores_ = std::move(stores);
    settledSince_ = context_.now();
  }
  const Duration waited = context_.now() - startedAt_;
  const bool mine = context_.self() == acceptors_.front() || waited >= options_.patience;
  const bool settled = context_.now() - settledSince_ >= options_.settle && !stores_.empty();
  const bool together =
      std::all_of(acceptors_.begin(), acceptors_.end(), [&](const NodeId& acceptor) {
        const NodeInfo* node = nodes->find(acceptor);
        return node != nullptr && node->state != NodeState::Dead;
      });
  return mine && settled && together;
}

void FleetBootstrapCore::form() {
  forming_ = true;
  context_.logStateChange("forming a fleet of " + std::to_string(acceptors_.size()) +
                          " acceptors and " + std::to_string(stores_.size()) + " stores");
  registers_.formFleet(acceptors_, stores_, [this](const Result<MemberList>& formed) {
    forming_ = false;
    context_.counters().add(formed ? "fleet_formed_total" : "fleet_formation_failures_total");
  });
}

}  // namespace shedshed

#include "register/successor_core.h"

#include "register/member_lists.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);

}  // namespace

SuccessorCore::SuccessorCore(CoreContext& context, const RegisterCore& registers,
                             const Directory& directory, Retirements& retirements,
                             const ReplicaStatus& replicas)
    : context_(context), registers_(registers), directory_(directory), retirements_(retirements),
      replicas_(replicas) {}

void SuccessorCore::start() {
  context_.startTimer(kCheckTimer, kCheckInterval);
}

void SuccessorCore::receive(const NodeId&, const Message&) {}

void SuccessorCore::timerExpired(TimerId) {
  context_.startTimer(kCheckTimer, kCheckInterval);
  for (const Retirement& entry : retirements_.pending()) {
    advance(entry);
  }
}

std::vector<NodeId> SuccessorCore::replaceableMembers() const {
  std::vector<NodeId> members;
  for (const Retirement& entry : retirements_.pending()) {
    if (entry.successor == context_.self()) {
      members.push_back(entry.node);
    }
  }
  return members;
}

bool SuccessorCore::isMember(const NodeId& id) const {
  return isListed(registers_.knownMembers().list.stores, id);
}

bool SuccessorCore::isFirstStandby() const {
  const std::vector<NodeId> retiring = retirements_.nodes();
  for (const NodeId& id : directory_.table()->live(NodeRole::Store)) {
    const bool isRetiring = std::find(retiring.begin(), retiring.end(), id) != retiring.end();
    if (!isMember(id) && !isRetiring) {
      return id == context_.self();
    }
  }
  return false;
}

void SuccessorCore::advance(const Retirement& entry) {
  Retirement next = entry;
  const NodeInfo* successorNode = directory_.table()->find(entry.successor);
  const bool isSuccessorLost =
      !isMember(entry.successor) && isMember(entry.node) &&
      (successorNode == nullptr || successorNode->state == NodeState::Dead);
  if ((entry.successor.empty() || isSuccessorLost) && isFirstStandby() && replicas_.isCaughtUp()) {
    next.successor = context_.self();
    retirements_.update(next);
    return;
  }
  const bool replaced = entry.successor == context_.self() && !isMember(entry.node);
  if (replaced && replicas_.isReplacementComplete()) {
    next.completed = true;
    context_.logEvent(TraceEvent("RetirementCompleted").field("node", entry.name));
    retirements_.update(next);
  }
}

}  // namespace shedshed

#include "register/successor_core.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);

}  // namespace

SuccessorCore::SuccessorCore(CoreContext& context, const RegisterCore& registers,
                             const Directory& directory, Retirements& retirements,
                             std::function<bool()> holdsAllData, std::function<bool()> isSettled)
    : context_(context), registers_(registers), directory_(directory), retirements_(retirements),
      holdsAllData_(std::move(holdsAllData)), isSettled_(std::move(isSettled)) {}

void SuccessorCore::start() {
  context_.startTimer(kCheckTimer, kCheckInterval);
}

void SuccessorCore::receive(const NodeId&, const Message&) {}

void SuccessorCore::timerExpired(TimerId) {
  context_.startTimer(kCheckTimer, kCheckInterval);
  for (const Retirement& entry : retirements_.open()) {
    follow(entry);
  }
}

std::vector<NodeId> SuccessorCore::placesToTake() const {
  std::vector<NodeId> places;
  for (const Retirement& entry : retirements_.open()) {
    if (entry.successor == context_.self()) {
      places.push_back(entry.node);
    }
  }
  return places;
}

bool SuccessorCore::isMember(const NodeId& id) const {
  const std::vector<MemberList::Member>& stores = registers_.knownMembers().list.stores;
  return std::any_of(stores.begin(), stores.end(),
                     [&](const MemberList::Member& member) { return member.id == id; });
}

bool SuccessorCore::isFirstSpare() const {
  const std::vector<NodeId> leaving = retirements_.nodes();
  for (const NodeId& id : directory_.table()->live(NodeRole::Store)) {
    const bool leaves = std::find(leaving.begin(), leaving.end(), id) != leaving.end();
    if (!isMember(id) && !leaves) {
      return id == context_.self();
    }
  }
  return false;
}

void SuccessorCore::follow(const Retirement& entry) {
  Retirement next = entry;
  const NodeInfo* named = directory_.table()->find(entry.successor);
  const bool lost = !isMember(entry.successor) && isMember(entry.node) &&
                    (named == nullptr || named->state == NodeState::Dead);
  if ((entry.successor.empty() || lost) && isFirstSpare() && holdsAllData_()) {
    next.successor = context_.self();
    retirements_.update(next);
    return;
  }
  const bool replaced = entry.successor == context_.self() && !isMember(entry.node);
  if (replaced && isSettled_()) {
    next.completed = true;
    context_.logEvent(TraceEvent("RetirementCompleted").field("node", entry.name));
    retirements_.update(next);
  }
}

}  // namespace shedshed

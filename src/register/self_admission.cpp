#include "register/self_admission.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kCheckTimer = 1;

}  // namespace

SelfAdmissionCore::SelfAdmissionCore(CoreContext& context, RegisterCore& registers,
                                     const Directory& directory, Kind kind, std::string storeId,
                                     std::function<bool()> holdsAllData,
                                     std::function<std::vector<NodeId>()> placesToTake,
                                     std::function<std::vector<NodeId>()> leaving,
                                     SelfAdmissionOptions options)
    : context_(context), registers_(registers), directory_(directory), kind_(kind),
      storeId_(std::move(storeId)), holdsAllData_(std::move(holdsAllData)),
      placesToTake_(std::move(placesToTake)), leaving_(std::move(leaving)), options_(options),
      sightings_(context) {}

void SelfAdmissionCore::start() {
  startedAt_ = context_.now();
  context_.startTimer(kCheckTimer, options_.check);
}

void SelfAdmissionCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<SightingRequest>(
      message, [&](const SightingRequest& request) { answerSighting(from, request); }) ||
      dispatchMessage<SightingAnswer>(
          message, [&](const SightingAnswer& answer) { sightings_.answered(from, answer); });
}

void SelfAdmissionCore::answerSighting(const NodeId& from, const SightingRequest& request) {
  const bool live = seesLive({request.member, request.storeId});
  context_.send(from, SightingAnswer{request.requestId, live});
}

void SelfAdmissionCore::timerExpired(TimerId) {
  context_.startTimer(kCheckTimer, options_.check);
  check();
}

const std::vector<MemberList::Member>& SelfAdmissionCore::members() const {
  const MemberList& list = registers_.knownMembers().list;
  return kind_ == Kind::Acceptor ? list.acceptors : list.stores;
}

bool SelfAdmissionCore::isListed(const NodeId& id) const {
  return std::any_of(members().begin(), members().end(),
                     [&](const MemberList::Member& member) { return member.id == id; });
}

bool SelfAdmissionCore::isLeaving(const NodeId& id) const {
  const std::vector<NodeId> leaving = leaving_();
  return std::find(leaving.begin(), leaving.end(), id) != leaving.end();
}

void SelfAdmissionCore::watchMembers(const NodeTable& nodes) {
  for (const MemberList::Member& member : members()) {
    const auto [found, isNew] = silences_.try_emplace(member.id);
    Silence& silence = found->second;
    if (isNew) {
      silence.since = context_.now();
    }
    const NodeInfo* node = nodes.find(member.id);
    const bool dead = node != nullptr && node->state == NodeState::Dead;
    if (dead != silence.isDead) {
      silence.isDead = dead;
      silence.since = context_.now();
    }
    silence.wasLive = silence.wasLive || (node != nullptr && !dead);
    if (node != nullptr && !dead) {
      silence.announcedLeaving = node->state == NodeState::Draining;
    }
  }
}

bool SelfAdmissionCore::isLost(const MemberList::Member& member) const {
  const auto found = silences_.find(member.id);
  if (found == silences_.end() || found->second.wasLive) {
    return false;
  }
  const Duration needed = found->second.isDead ? options_.deadFor : options_.absentFor;
  return context_.now() - found->second.since >= needed;
}

bool SelfAdmissionCore::hasLeft(const MemberList::Member& member) const {
  const auto found = silences_.find(member.id);
  return found != silences_.end() && found->second.isDead && found->second.announcedLeaving &&
         context_.now() - found->second.since >= options_.leftFor;
}

bool SelfAdmissionCore::isFirstSpare(const NodeTable& nodes) const {
  const NodeRole role = kind_ == Kind::Acceptor ? NodeRole::Register : NodeRole::Store;
  for (const NodeId& id : nodes.live(role)) {
    const bool hasDisk = !nodes.find(id)->storeId.empty();
    if (hasDisk && !isListed(id) && !isLeaving(id)) {
      return id == context_.self();
    }
  }
  return false;
}

SelfAdmissionCore::Place SelfAdmissionCore::placeToTake(const NodeTable& nodes) const {
  if (isListed(context_.self())) {
    return {context_.self(), false};
  }
  for (const NodeId& place : placesToTake_()) {
    if (isListed(place)) {
      return {place, false};
    }
  }
  const bool firstSpare = isFirstSpare(nodes);
  for (const MemberList::Member& member : members()) {
    if (isLost(member) || (firstSpare && hasLeft(member))) {
      return {member.id, true};
    }
  }
  return {};
}

bool SelfAdmissionCore::seesLive(const MemberList::Member& member) const {
  if (member.id == context_.self()) {
    return member.storeId == storeId_;
  }
  const std::shared_ptr<const NodeTable> nodes = directory_.table();
  const NodeInfo* node = nodes->find(member.id);
  return node != nullptr && node->state != NodeState::Dead;
}

// The verdict is looked at a check after the question, so that the member itself has time to
// answer.
bool SelfAdmissionCore::isMissedByOthers(const NodeId& id) {
  const auto member = std::find_if(members().begin(), members().end(),
                                   [&](const auto& candidate) { return candidate.id == id; });
  switch (sightings_.verdict(*member)) {
  case MemberSightings::Verdict::Missed:
    return true;
  case MemberSightings::Verdict::Live:
    context_.counters().add("members_missed_wrongly_total");
    silences_[id].since = context_.now();
    sightings_.reset();
    return false;
  case MemberSightings::Verdict::Open:
    sightings_.ask(*member, registers_.knownMembers().list.acceptors);
    break;
  }
  return false;
}

void SelfAdmissionCore::check() {
  const bool isMember =
      std::any_of(members().begin(), members().end(), [this](const MemberList::Member& member) {
        return member.id == context_.self() && member.storeId == storeId_;
      });
  if (registers_.knownMembers().version == 0 || isMember || asking_ || isLeaving(context_.self())) {
    return;
  }
  const std::shared_ptr<const NodeTable> nodes = directory_.table();
  watchMembers(*nodes);
  const Place place = placeToTake(*nodes);
  if (!holdsAllData_()) {
    return;
  }
  if (place.member.empty()) {
    if (isMissing(*nodes)) {
      askToBeAdded();
    }
    return;
  }
  if (!place.presumedLost || isMissedByOthers(place.member)) {
    askFor(place.member);
  }
}

void SelfAdmissionCore::askFor(const NodeId& place) {
  asking_ = true;
  context_.logEvent(TraceEvent("MemberReplacementRequested").field("member", place));
  registers_.replaceMember(place, context_.self(),
                           [this](const Result<MemberList>& list) { answered(list); });
}

bool SelfAdmissionCore::isMissing(const NodeTable& nodes) const {
  return kind_ == Kind::Acceptor && members().size() < options_.acceptorsNeeded &&
         isFirstSpare(nodes);
}

void SelfAdmissionCore::askToBeAdded() {
  asking_ = true;
  context_.logEvent(TraceEvent("AcceptorAdditionRequested"));
  registers_.addAcceptor(context_.self(),
                         [this](const Result<MemberList>& list) { answered(list); });
}

void SelfAdmissionCore::answered(const Result<MemberList>& list) {
  asking_ = false;
  sightings_.reset();
  context_.counters().add(list ? "members_admitted_total" : "member_admission_failures_total");
  if (list) {
    context_.logEvent(TraceEvent("MemberJoined"));
  } else {
    context_.logEvent(
        TraceEvent("MemberJoinFailed", Severity::Warning).field("error", list.error()));
  }
}

}  // namespace shedshed

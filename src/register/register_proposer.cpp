#include "register/register_proposer.h"

#include "register/fleet_formation.h"

#include <algorithm>

namespace shedshed {

namespace {

constexpr TimerId kTimersPerOperation = 8;

TimerId timerIdOf(OperationId operation, OperationTimer timer) {
  return operation * kTimersPerOperation + static_cast<TimerId>(timer);
}

}  // namespace

RegisterProposer::RegisterProposer(CoreContext& context, const RegisterSafeguards& safeguards,
                                   CommittedMembers& members)
    : context_(context), safeguards_(safeguards), members_(members),
      reader_(*this, [this](const std::string& name) { repair(name); }) {}

void RegisterProposer::start() {
  incarnation_ = context_.random()();
  // Request ids differ from those before a restart, whose replies may still be in flight.
  lastOperation_ = incarnation_ >> 8U;
}

void RegisterProposer::startOperation(OperationId id, std::unique_ptr<Operation> operation) {
  Operation& started = *operation;
  operations_[id] = std::move(operation);
  started.start();
}

void RegisterProposer::propose(ProposalSpec spec, Proposal::Done done) {
  const OperationId id = ++lastOperation_;
  startOperation(id, std::make_unique<Proposal>(host(), id, std::move(spec), std::move(done)));
}

void RegisterProposer::read(const std::string& registerName,
                            std::function<void(Result<RegisterValue>)> done) {
  ProposalSpec spec;
  spec.registerName = registerName;
  propose(std::move(spec), [done = std::move(done)](Result<ProposalOutcome> outcome) {
    if (!outcome) {
      done(outcome.error());
      return;
    }
    done(outcome.value().value);
  });
}

void RegisterProposer::proveCurrent(std::map<std::string, std::uint64_t> known,
                                    QuorumReader::Done done) {
  reader_.start(std::move(known), std::move(done));
}

void RegisterProposer::formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores,
                                 std::uint32_t replicas, MembershipDone done) {
  const OperationId id = ++lastOperation_;
  startOperation(id,
                 std::make_unique<FleetFormation>(host(), id, std::move(acceptors),
                                                  std::move(stores), replicas, std::move(done)));
  reportFinished();
}

void RegisterProposer::changeMember(std::optional<NodeId> oldId, const NodeId& newId,
                                    MembershipDone done) {
  const OperationId id = ++lastOperation_;
  auto run = [this](ProposalSpec spec, Proposal::Done proposalDone) {
    propose(std::move(spec), std::move(proposalDone));
  };
  startOperation(id, std::make_unique<MemberReplacement>(host(), id, std::move(oldId), newId,
                                                         std::move(run), std::move(done)));
}

void RegisterProposer::repair(const std::string& registerName) {
  if (!repairing_.insert(registerName).second) {
    return;
  }
  read(registerName,
       [this, registerName](const Result<RegisterValue>&) { repairing_.erase(registerName); });
}

void RegisterProposer::membersOutdated(std::uint64_t version) {
  if (version == members_.known().version) {
    repair(kMembersRegister);
  }
}

void RegisterProposer::committed(const std::string& registerName, const RegisterValue& value) {
  if (value.version == 0) {
    return;
  }
  if (registerName == kMembersRegister) {
    members_.learn(value);
  }
  if (committedListener_) {
    committedListener_(registerName, value);
  }
}

Ballot RegisterProposer::nextBallot() {
  return Ballot{++highestRound_, incarnation_};
}

void RegisterProposer::observeBallot(const Ballot& ballot) {
  highestRound_ = std::max(highestRound_, ballot.round);
}

void RegisterProposer::startTimer(OperationId operation, OperationTimer timer, Duration after) {
  context_.startTimer(timerIdOf(operation, timer), after);
}

void RegisterProposer::stopTimer(OperationId operation, OperationTimer timer) {
  context_.stopTimer(timerIdOf(operation, timer));
}

template <class Reply>
bool RegisterProposer::dispatchReply(const NodeId& from, const Message& message,
                                     void (Operation::*handler)(const NodeId&, const Reply&)) {
  return dispatchMessage<Reply>(message, [&](const Reply& reply) {
    for (auto& entry : operations_) {
      (entry.second.get()->*handler)(from, reply);
    }
  });
}

void RegisterProposer::receive(const NodeId& from, const Message& message) {
  dispatchReply(from, message, &Operation::onPrepareReply) ||
      dispatchReply(from, message, &Operation::onAcceptReply) ||
      dispatchMessage<ReadReply>(
          message, [&](const ReadReply& reply) { reader_.onReadReply(from, reply); }) ||
      dispatchReply(from, message, &Operation::onIdentityReply) ||
      dispatchReply(from, message, &Operation::onMembersAcknowledged) ||
      dispatchReply(from, message, &Operation::onFormReply);
}

void RegisterProposer::timerExpired(TimerId timer) {
  const auto operation = operations_.find(timer / kTimersPerOperation);
  if (operation != operations_.end()) {
    operation->second->timerExpired(static_cast<OperationTimer>(timer % kTimersPerOperation));
  }
  reportFinished();
}

bool RegisterProposer::reportOneFinished() {
  const auto found = std::find_if(operations_.begin(), operations_.end(),
                                  [](const auto& entry) { return entry.second->isFinished(); });
  if (found == operations_.end()) {
    return false;
  }
  const std::unique_ptr<Operation> finished = std::move(found->second);
  operations_.erase(found);
  finished->report();
  return true;
}

void RegisterProposer::reportFinished() {
  while (reportOneFinished()) {
  }
}

}  // namespace shedshed

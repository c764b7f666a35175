#include "register/register_core.h"

#include <algorithm>

namespace shedshed {

namespace {

constexpr const char* kKnownMembersKey = "register/known_members";
constexpr TimerId kTimersPerOperation = 8;

bool isRegister(const std::string& name) {
  const auto& names = registerNames();
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Removes the finished operations from @p operations and reports them.
/// @return true if there was one
template <class Operations>
bool reportFinishedOf(Operations& operations) {
  for (auto it = operations.begin(); it != operations.end(); ++it) {
    if (it->second->isFinished()) {
      const auto finished = std::move(it->second);
      operations.erase(it);
      finished->report();
      return true;
    }
  }
  return false;
}

}  // namespace

RegisterCore::RegisterCore(CoreContext& context, RegisterOptions options)
    : context_(context), options_(std::move(options)),
      outbox_(context, options_.safeguards.persistBeforeAnswer),
      reader_(*this, [this](const std::string& name) { repair(name); }) {}

RegisterCore::~RegisterCore() = default;

void RegisterCore::setConfigurationSource(ConfigurationSource& source) {
  source.subscribe(kMembersRegister, [this](const RegisterValue& value) { learnMembers(value); });
}

void RegisterCore::setCommittedListener(
    std::function<void(const std::string&, const RegisterValue&)> listener) {
  committedListener_ = std::move(listener);
}

void RegisterCore::setAcceptedListener(std::function<void()> listener) {
  acceptedListener_ = std::move(listener);
}

void RegisterCore::setNewReaderListener(std::function<void()> listener) {
  newReaderListener_ = std::move(listener);
}

void RegisterCore::start() {
  incarnation_ = context_.random()();
  // Request ids differ from those before a restart, whose answers may still be on their way.
  lastOperation_ = incarnation_ >> 8U;
  if (!options_.hasDisk) {
    return;
  }
  loadMembers();
  auto acceptor = std::make_unique<Acceptor>(context_, outbox_, options_);
  const Status loaded = acceptor->load();
  if (!loaded) {
    // An acceptor that is not sure of its past must not vote.
    context_.counters().add("register_load_failures_total");
    context_.logEvent(
        TraceEvent("RegisterRecordsCorrupt", Severity::Error).field("error", loaded.error()));
    return;
  }
  acceptor_ = std::move(acceptor);
}

void RegisterCore::loadMembers() {
  Result<std::optional<std::string>> bytes = context_.records().read(kKnownMembersKey);
  if (!bytes || !bytes.value()) {
    return;
  }
  Result<RegisterValue> value = decodeRecord<RegisterValue>(*bytes.value());
  if (!value) {
    return;
  }
  Result<MemberList> list = decodeRecord<MemberList>(value.value().value);
  if (list) {
    members_ = {value.value().version, list.value()};
  }
}

void RegisterCore::learnMembers(const RegisterValue& value) {
  if (value.version <= members_.version) {
    return;
  }
  Result<MemberList> list = decodeRecord<MemberList>(value.value);
  if (!list) {
    return;
  }
  members_ = {value.version, std::move(list).value()};
  if (options_.hasDisk) {
    outbox_.persist({{kKnownMembersKey, encodeRecord(value)}});
  }
}

void RegisterCore::change(ChangeRequest request, std::function<void(Result<ChangeOutcome>)> done) {
  const bool changeable =
      isRegister(request.registerName) && request.registerName != kMembersRegister;
  if (!changeable || request.idempotencyKey.empty()) {
    done(makeError(ErrorCode::InvalidArgument,
                   changeable ? "order id: must not be empty" : "no such register"));
    return;
  }
  ProposalSpec spec;
  spec.registerName = request.registerName;
  spec.change = std::move(request);
  runProposal(std::move(spec), [done = std::move(done)](Result<ProposalOutcome> outcome) {
    if (!outcome) {
      done(outcome.error());
      return;
    }
    done(outcome.value().outcome);
  });
}

void RegisterCore::read(const std::string& registerName,
                        std::function<void(Result<RegisterValue>)> done) {
  if (!isRegister(registerName)) {
    done(makeError(ErrorCode::InvalidArgument, "no such register"));
    return;
  }
  ProposalSpec spec;
  spec.registerName = registerName;
  runProposal(std::move(spec), [done = std::move(done)](Result<ProposalOutcome> outcome) {
    if (!outcome) {
      done(outcome.error());
      return;
    }
    done(outcome.value().value);
  });
}

void RegisterCore::proveCurrent(std::map<std::string, std::uint64_t> known,
                                QuorumReader::Done done) {
  reader_.start(std::move(known), std::move(done));
}

void RegisterCore::formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores,
                             std::uint32_t replicas, FormationDone done) {
  const OperationId id = ++lastOperation_;
  auto& formation = formations_[id];
  formation = std::make_unique<FleetFormation>(host(), id, std::move(acceptors), std::move(stores),
                                               replicas, std::move(done));
  formation->start();
  reportFinished();
}

void RegisterCore::replaceMember(const NodeId& oldId, const NodeId& newId, ReplacementDone done) {
  changeMember(MemberChange::Replacement, oldId, newId, std::move(done));
}

void RegisterCore::addAcceptor(const NodeId& newId, ReplacementDone done) {
  changeMember(MemberChange::AcceptorAddition, {}, newId, std::move(done));
}

void RegisterCore::changeMember(MemberChange change, const NodeId& oldId, const NodeId& newId,
                                ReplacementDone done) {
  const OperationId id = ++lastOperation_;
  auto run = [this](ProposalSpec spec, Proposal::Done proposalDone) {
    runProposal(std::move(spec), std::move(proposalDone));
  };
  auto& replacement = replacements_[id];
  replacement = std::make_unique<MemberReplacement>(host(), id, change, oldId, newId,
                                                    std::move(run), std::move(done));
  replacement->start();
}

void RegisterCore::runProposal(ProposalSpec spec, Proposal::Done done) {
  const OperationId id = ++lastOperation_;
  auto& proposal = proposals_[id];
  proposal = std::make_unique<Proposal>(host(), id, std::move(spec), std::move(done));
  proposal->start();
}

void RegisterCore::repair(const std::string& registerName) {
  if (!repairing_.insert(registerName).second) {
    return;
  }
  read(registerName,
       [this, registerName](const Result<RegisterValue>&) { repairing_.erase(registerName); });
}

void RegisterCore::membersOutdated(std::uint64_t version) {
  if (version == members_.version) {
    repair(kMembersRegister);
  }
}

void RegisterCore::committed(const std::string& registerName, const RegisterValue& value) {
  if (value.version == 0) {
    return;
  }
  if (registerName == kMembersRegister) {
    learnMembers(value);
  }
  if (committedListener_) {
    committedListener_(registerName, value);
  }
}

Ballot RegisterCore::nextBallot() {
  return Ballot{++highestRound_, incarnation_};
}

void RegisterCore::observeBallot(const Ballot& ballot) {
  highestRound_ = std::max(highestRound_, ballot.round);
}

void RegisterCore::startTimer(OperationId operation, OperationTimer timer, Duration after) {
  context_.startTimer(operation * kTimersPerOperation + static_cast<TimerId>(timer), after);
}

void RegisterCore::stopTimer(OperationId operation, OperationTimer timer) {
  context_.stopTimer(operation * kTimersPerOperation + static_cast<TimerId>(timer));
}

void RegisterCore::receive(const NodeId& from, const Message& message) {
  if (!receiveAsAcceptor(from, message)) {
    receiveAsProposer(from, message);
  }
  reportFinished();
}

bool RegisterCore::receiveAsAcceptor(const NodeId& from, const Message& message) {
  if (!acceptor_) {
    return dispatchMessage<IdentityRequest>(message, [&](const IdentityRequest& request) {
      context_.send(from, IdentityReply{request.requestId, {}, 0, 0});
    });
  }
  Acceptor& acceptor = *acceptor_;
  return dispatchMessage<PrepareRequest>(
             message, [&](const PrepareRequest& request) { acceptor.prepare(from, request); }) ||
         dispatchMessage<AcceptRequest>(message,
                                        [&](const AcceptRequest& request) {
                                          acceptor.accept(from, request);
                                          if (acceptedListener_) {
                                            acceptedListener_();
                                          }
                                        }) ||
         dispatchMessage<ReadRequest>(
             message, [&](const ReadRequest& request) { onReadRequest(from, request); }) ||
         dispatchMessage<ChangeLogRequest>(
             message,
             [&](const ChangeLogRequest& request) { acceptor.sendChangeLog(from, request); }) ||
         dispatchMessage<ChangeLogChunk>(
             message,
             [&](const ChangeLogChunk& part) { acceptor.addChangeLogChunk(from, part); }) ||
         dispatchMessage<IdentityRequest>(
             message,
             [&](const IdentityRequest& request) { acceptor.sendIdentity(from, request); }) ||
         dispatchMessage<MembersCommitted>(
             message,
             [&](const MembersCommitted& announcement) {
               learnMembers(announcement.members);
               outbox_.send(from, MembersAcknowledged{announcement.requestId, options_.storeId});
             }) ||
         dispatchMessage<FormRequest>(message,
                                      [&](const FormRequest& request) { formed(from, request); });
}

void RegisterCore::onReadRequest(const NodeId& from, const ReadRequest& request) {
  acceptor_->read(from, request);
  const bool isNew = from != context_.self() && readers_.insert(from).second;
  if (isNew && newReaderListener_) {
    newReaderListener_();
  }
}

void RegisterCore::formed(const NodeId& from, const FormRequest& request) {
  const bool formed = acceptor_->form(request);
  if (formed) {
    learnMembers({1, encodeRecord(request.members)});
  }
  outbox_.send(from, FormReply{request.requestId, formed});
}

void RegisterCore::receiveAsProposer(const NodeId& from, const Message& message) {
  dispatchMessage<PrepareReply>(message, [&](const PrepareReply& answer) {
    for (auto& entry : proposals_) {
      entry.second->onPrepareReply(from, answer);
    }
  });
  dispatchMessage<AcceptReply>(message, [&](const AcceptReply& answer) {
    for (auto& entry : proposals_) {
      entry.second->onAcceptReply(from, answer);
    }
  });
  dispatchMessage<ReadReply>(message,
                             [&](const ReadReply& answer) { reader_.answered(from, answer); });
  dispatchMessage<IdentityReply>(message, [&](const IdentityReply& answer) {
    for (auto& entry : formations_) {
      entry.second->onIdentityReply(from, answer);
    }
    for (auto& entry : replacements_) {
      entry.second->onIdentityReply(from, answer);
    }
  });
  dispatchMessage<MembersAcknowledged>(message, [&](const MembersAcknowledged& answer) {
    for (auto& entry : replacements_) {
      entry.second->onMembersAcknowledged(from, answer);
    }
  });
  dispatchMessage<FormReply>(message, [&](const FormReply& answer) {
    for (auto& entry : formations_) {
      entry.second->onFormReply(from, answer);
    }
  });
}

void RegisterCore::timerExpired(TimerId timer) {
  const OperationId operation = timer / kTimersPerOperation;
  const auto kind = static_cast<OperationTimer>(timer % kTimersPerOperation);
  const auto proposal = proposals_.find(operation);
  if (proposal != proposals_.end()) {
    proposal->second->timerExpired(kind);
  }
  const auto formation = formations_.find(operation);
  if (formation != formations_.end()) {
    formation->second->timerExpired(kind);
  }
  const auto replacement = replacements_.find(operation);
  if (replacement != replacements_.end()) {
    replacement->second->timerExpired(kind);
  }
  reportFinished();
}

void RegisterCore::persisted(PersistId id, const Status& status) {
  outbox_.persisted(id, status);
}

void RegisterCore::reportFinished() {
  while (reportFinishedOf(proposals_) || reportFinishedOf(formations_) ||
         reportFinishedOf(replacements_)) {
  }
}

}  // namespace shedshed

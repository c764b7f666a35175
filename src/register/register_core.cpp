#include "register/register_core.h"

#include <algorithm>

namespace shedshed {

namespace {

bool isRegister(const std::string& name) {
  const auto& names = registerNames();
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

RegisterCore::RegisterCore(CoreContext& context, RegisterOptions options)
    : context_(context), options_(std::move(options)),
      outbox_(context, options_.safeguards.persistBeforeAnswer),
      members_(context, outbox_, options_.hasDisk),
      proposer_(context, options_.safeguards, members_) {}

RegisterCore::~RegisterCore() = default;

void RegisterCore::setConfigurationSource(ConfigurationSource& source) {
  source.subscribe(kMembersRegister, [this](const RegisterValue& value) { members_.learn(value); });
}

void RegisterCore::setCommittedListener(
    std::function<void(const std::string&, const RegisterValue&)> listener) {
  proposer_.setCommittedListener(std::move(listener));
}

void RegisterCore::setAcceptedListener(std::function<void()> listener) {
  acceptedListener_ = std::move(listener);
}

void RegisterCore::setNewReaderListener(std::function<void()> listener) {
  newReaderListener_ = std::move(listener);
}

void RegisterCore::start() {
  proposer_.start();
  if (options_.hasDisk) {
    members_.load();
    loadAcceptor();
  }
}

void RegisterCore::loadAcceptor() {
  auto acceptor = std::make_unique<Acceptor>(context_, outbox_, options_);
  const Status loaded = acceptor->load();
  if (!loaded) {
    // An acceptor with corrupt records may have lost promises, so it must not vote.
    context_.counters().add("register_load_failures_total");
    context_.logEvent(
        TraceEvent("RegisterRecordsCorrupt", Severity::Error).field("error", loaded.error()));
    return;
  }
  acceptor_ = std::move(acceptor);
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
  proposer_.propose(std::move(spec), [done = std::move(done)](Result<ProposalOutcome> outcome) {
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
  proposer_.read(registerName, std::move(done));
}

void RegisterCore::proveCurrent(std::map<std::string, std::uint64_t> known,
                                QuorumReader::Done done) {
  proposer_.proveCurrent(std::move(known), std::move(done));
}

void RegisterCore::formFleet(std::vector<NodeId> acceptors, std::vector<NodeId> stores,
                             std::uint32_t replicas, MembershipDone done) {
  proposer_.formFleet(std::move(acceptors), std::move(stores), replicas, std::move(done));
}

void RegisterCore::replaceMember(const NodeId& oldId, const NodeId& newId, MembershipDone done) {
  proposer_.changeMember(oldId, newId, std::move(done));
}

void RegisterCore::addAcceptor(const NodeId& newId, MembershipDone done) {
  proposer_.changeMember(std::nullopt, newId, std::move(done));
}

void RegisterCore::receive(const NodeId& from, const Message& message) {
  if (!receiveRequest(from, message)) {
    proposer_.receive(from, message);
  }
  proposer_.reportFinished();
}

bool RegisterCore::receiveRequest(const NodeId& from, const Message& message) {
  if (!acceptor_) {
    return dispatchMessage<IdentityRequest>(message, [&](const IdentityRequest& request) {
      context_.send(from, IdentityReply{request.requestId, {}, 0, 0});
    });
  }
  return receivePaxosRequest(from, message) || receiveMembershipRequest(from, message);
}

bool RegisterCore::receivePaxosRequest(const NodeId& from, const Message& message) {
  return dispatchMessage<PrepareRequest>(
             message, [&](const PrepareRequest& request) { acceptor_->prepare(from, request); }) ||
         dispatchMessage<AcceptRequest>(
             message, [&](const AcceptRequest& request) { onAcceptRequest(from, request); }) ||
         dispatchMessage<ReadRequest>(
             message, [&](const ReadRequest& request) { onReadRequest(from, request); }) ||
         dispatchMessage<ChangeLogRequest>(
             message,
             [&](const ChangeLogRequest& request) { acceptor_->sendChangeLog(from, request); }) ||
         dispatchMessage<ChangeLogChunk>(message, [&](const ChangeLogChunk& chunk) {
           acceptor_->addChangeLogChunk(from, chunk);
         });
}

bool RegisterCore::receiveMembershipRequest(const NodeId& from, const Message& message) {
  return dispatchMessage<IdentityRequest>(
             message,
             [&](const IdentityRequest& request) { acceptor_->sendIdentity(from, request); }) ||
         dispatchMessage<MembersCommitted>(
             message,
             [&](const MembersCommitted& request) { onMembersCommitted(from, request); }) ||
         dispatchMessage<FormRequest>(
             message, [&](const FormRequest& request) { onFormRequest(from, request); });
}

void RegisterCore::onAcceptRequest(const NodeId& from, const AcceptRequest& request) {
  acceptor_->accept(from, request);
  if (acceptedListener_) {
    acceptedListener_();
  }
}

void RegisterCore::onReadRequest(const NodeId& from, const ReadRequest& request) {
  acceptor_->read(from, request);
  const bool isNew = from != context_.self() && readers_.insert(from).second;
  if (isNew && newReaderListener_) {
    newReaderListener_();
  }
}

// The outbox sends the acknowledgement only once the list is synced: the operation that changes the
// members relies on a majority that knows the list after any crash.
void RegisterCore::onMembersCommitted(const NodeId& from, const MembersCommitted& announcement) {
  members_.learn(announcement.members);
  outbox_.send(from, MembersAcknowledged{announcement.requestId, options_.storeId});
}

void RegisterCore::onFormRequest(const NodeId& from, const FormRequest& request) {
  const bool formed = acceptor_->form(request);
  if (formed) {
    members_.learn({1, encodeRecord(request.members)});
  }
  outbox_.send(from, FormReply{request.requestId, formed});
}

void RegisterCore::timerExpired(TimerId timer) {
  proposer_.timerExpired(timer);
}

void RegisterCore::persisted(PersistId id, const Status& status) {
  outbox_.persisted(id, status);
}

}  // namespace shedshed

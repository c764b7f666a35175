#include "register/configuration_core.h"

namespace shedshed {

namespace {

constexpr TimerId kTickTimer = 1;
constexpr TimerId kPullTimer = 2;
constexpr TimerId kAfterAcceptTimer = 3;
constexpr TimerId kFirstProofTimer = 4;

std::uint64_t roundUpToMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(toMilliseconds(duration)) + 1;
}

}  // namespace

ConfigurationCore::ConfigurationCore(CoreContext& context, Directory* directory,
                                     RegisterCore& registers, ConfigurationOptions options)
    : context_(context), registers_(registers), isControl_(options.isControl),
      values_(context, options.isControl), proof_(context),
      source_(context, directory, registers, std::move(options.seeds)) {}

void ConfigurationCore::start() {
  startedAt_ = context_.now();
  pullId_ = context_.random()();
  registers_.setConfigurationSource(*this);
  registers_.setCommittedListener(
      [this](const std::string& name, const RegisterValue& value) { values_.adopt(name, value); });
  if (isControl_) {
    registers_.setAcceptedListener([this] {
      if (!afterAcceptTimerActive_) {
        afterAcceptTimerActive_ = true;
        context_.startTimer(kAfterAcceptTimer, kProofDelayAfterAccept);
      }
    });
    // The new reader may be the node that was missing for a majority when this node started.
    registers_.setNewReaderListener([this] {
      if (proof_.neverProved()) {
        proveByQuorum();
      }
    });
  }
  tick();
}

void ConfigurationCore::subscribe(const std::string& registerName,
                                  std::function<void(const RegisterValue&)> listener) {
  values_.subscribe(registerName, std::move(listener));
}

RegisterValue ConfigurationCore::current(const std::string& registerName) const {
  return values_.current(registerName);
}

Time ConfigurationCore::freshUntil() const {
  return proof_.freshUntil();
}

void ConfigurationCore::tick() {
  context_.startTimer(kTickTimer, isControl_ ? kProofInterval : kPullInterval);
  if (isControl_) {
    proveByQuorum();
  }
  const bool proofIsStale = proof_.neverProved() || proof_.age() > kStaleProofAge;
  const bool firstPullInFlight =
      proof_.neverProved() && context_.now() - pullSentAt_ < kPullTimeout;
  if ((!isControl_ || proofIsStale) && !firstPullInFlight) {
    pull();
  }
}

void ConfigurationCore::proveAfterAccept() {
  if (readInFlight_ && context_.now() - readSentAt_ < kPullTimeout) {
    context_.startTimer(kAfterAcceptTimer, kProofDelayAfterAccept);
    return;
  }
  afterAcceptTimerActive_ = false;
  proveByQuorum();
}

void ConfigurationCore::proveByQuorum() {
  const Time sentAt = context_.now();
  readSentAt_ = sentAt;
  readInFlight_ = true;
  registers_.proveCurrent(values_.versions(),
                          [this, sentAt](Result<std::vector<NamedValue>> proof) {
                            readInFlight_ = readInFlight_ && sentAt != readSentAt_;
                            if (!proof) {
                              context_.counters().add("configuration_proof_failures_total");
                              return;
                            }
                            for (const NamedValue& named : proof.value()) {
                              values_.adopt(named.registerName, named.value);
                            }
                            proof_.record(sentAt);
                          });
}

void ConfigurationCore::pull() {
  const std::optional<NodeId> source = source_.choose();
  if (!source) {
    return;
  }
  pullSentAt_ = context_.now();
  context_.startTimer(kPullTimer, kPullTimeout);
  context_.send(*source, PullRequest{++pullId_, values_.versionsToPull(), true});
}

void ConfigurationCore::replyToPull(const NodeId& from, const PullRequest& request) {
  PullReply reply;
  reply.requestId = request.requestId;
  reply.proved = proof_.isValid();
  if (reply.proved) {
    reply.ageMilliseconds = roundUpToMilliseconds(proof_.age());
    values_.appendUpdates(request, reply);
  }
  context_.send(from, reply);
}

void ConfigurationCore::onPullReply(const PullReply& reply) {
  if (reply.requestId != pullId_) {
    return;
  }
  context_.stopTimer(kPullTimer);
  const Duration age = std::chrono::milliseconds(reply.ageMilliseconds);
  if (!reply.proved || age > kStaleProofAge) {
    source_.advance();
  }
  const Time moment = pullSentAt_ - age;
  if (!reply.proved || age > kFreshnessLease || moment < startedAt_) {
    if (proof_.neverProved()) {
      context_.startTimer(kFirstProofTimer, kFirstProofInterval);
    }
    return;
  }
  for (const NamedValue& named : reply.values) {
    values_.adopt(named.registerName, named.value);
  }
  bool complete = true;
  for (const NamedPatches& named : reply.patches) {
    complete = values_.adoptPatches(named) && complete;
  }
  if (complete) {
    proof_.record(moment);
  }
}

void ConfigurationCore::receive(const NodeId& from, const Message& message) {
  if (isControl_) {
    dispatchMessage<PullRequest>(message,
                                 [&](const PullRequest& request) { replyToPull(from, request); });
  }
  dispatchMessage<PullReply>(message, [&](const PullReply& reply) { onPullReply(reply); });
}

void ConfigurationCore::timerExpired(TimerId timer) {
  switch (timer) {
  case kTickTimer:
    tick();
    return;
  case kPullTimer:
    source_.advance();
    pull();
    return;
  case kFirstProofTimer:
    if (proof_.neverProved()) {
      pull();
    }
    return;
  case kAfterAcceptTimer:
    proveAfterAccept();
    return;
  default:
    return;
  }
}

}  // namespace shedshed

#include "register/configuration_core.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {

namespace {

constexpr TimerId kTickTimer = 1;
constexpr TimerId kPullTimer = 2;
constexpr TimerId kAfterAcceptTimer = 3;
constexpr TimerId kFirstProofTimer = 4;

/// Pulls after which a node goes back to its preferred control node, so that load spreads again
/// after a failure.
constexpr std::uint32_t kPullsBetweenPreferences = 20;

std::uint64_t roundUpToMilliseconds(Duration duration) {
  return static_cast<std::uint64_t>(toMilliseconds(duration)) + 1;
}

}  // namespace

ConfigurationCore::ConfigurationCore(CoreContext& context, Directory* directory,
                                     RegisterCore& registers, ConfigurationOptions options)
    : context_(context), directory_(directory), registers_(registers), options_(std::move(options)),
      freshUntil_(Time::min().time_since_epoch().count()) {}

void ConfigurationCore::start() {
  startedAt_ = context_.now();
  pullId_ = context_.random()();
  registers_.setConfigurationSource(*this);
  registers_.setCommittedListener(
      [this](const std::string& name, const RegisterValue& value) { adopt(name, value); });
  if (options_.isControl) {
    registers_.setAcceptedListener([this] {
      if (!afterAcceptRuns_) {
        afterAcceptRuns_ = true;
        context_.startTimer(kAfterAcceptTimer, kProofAfterAccept);
      }
    });
    // It may be the one that was missing for a majority when this node started.
    registers_.setNewReaderListener([this] {
      if (neverProved()) {
        proveByQuorum();
      }
    });
  }
  tick();
}

void ConfigurationCore::subscribe(const std::string& registerName,
                                  std::function<void(const RegisterValue&)> listener) {
  const auto found = values_.find(registerName);
  if (found != values_.end()) {
    listener(found->second);
  }
  listeners_[registerName].push_back(std::move(listener));
}

RegisterValue ConfigurationCore::current(const std::string& registerName) const {
  const auto found = values_.find(registerName);
  return found == values_.end() ? RegisterValue{} : found->second;
}

Time ConfigurationCore::freshUntil() const {
  return Time(Duration(freshUntil_.load(std::memory_order_acquire)));
}

std::map<std::string, std::uint64_t> ConfigurationCore::versions() const {
  std::map<std::string, std::uint64_t> versions;
  for (const auto& entry : values_) {
    versions[entry.first] = entry.second.version;
  }
  return versions;
}

void ConfigurationCore::adopt(const std::string& registerName, const RegisterValue& value) {
  RegisterValue& held = values_[registerName];
  if (value.version <= held.version) {
    return;
  }
  if (options_.isControl && held.version != 0) {
    histories_[registerName].add(held, value);
  }
  needsFullValue_.erase(registerName);
  held = value;
  context_.counters().add("configuration_adopted_total");
  context_.counters().set("configuration_value_bytes_" + registerName,
                          static_cast<double>(value.value.size()));
  context_.logEvent(TraceEvent("ConfigurationAdopted")
                        .field("register", registerName)
                        .field("version", value.version)
                        .field("bytes", value.value.size()));
  const auto listeners = listeners_[registerName];
  for (const auto& listener : listeners) {
    listener(value);
  }
}

bool ConfigurationCore::hasProof() const {
  return provedAt_ != Time::min() && context_.now() < provedAt_ + kFreshnessLease;
}

void ConfigurationCore::recordProof(Time moment) {
  if (moment <= provedAt_) {
    return;
  }
  if (!hasProof()) {
    context_.logEvent(TraceEvent("ConfigurationLeaseAcquired"));
  }
  provedAt_ = moment;
  freshUntil_.store((moment + kFreshnessLease).time_since_epoch().count(),
                    std::memory_order_release);
}

void ConfigurationCore::tick() {
  context_.startTimer(kTickTimer, options_.isControl ? kProofInterval : kPullInterval);
  if (options_.isControl) {
    proveByQuorum();
  }
  const bool proofIsOld = neverProved() || context_.now() - provedAt_ > kOldProof;
  const bool firstPullIsOpen = neverProved() && context_.now() - pullSentAt_ < kPullTimeout;
  if ((!options_.isControl || proofIsOld) && !firstPullIsOpen) {
    pull();
  }
}

void ConfigurationCore::proveByQuorum() {
  const Time sentAt = context_.now();
  readSentAt_ = sentAt;
  readIsOpen_ = true;
  registers_.proveCurrent(versions(), [this, sentAt](Result<std::vector<NamedValue>> proof) {
    readIsOpen_ = readIsOpen_ && sentAt != readSentAt_;
    if (!proof) {
      context_.counters().add("configuration_proof_failures_total");
      return;
    }
    for (const NamedValue& named : proof.value()) {
      adopt(named.registerName, named.value);
    }
    recordProof(sentAt);
  });
}

std::vector<NodeId> ConfigurationCore::sources() const {
  std::vector<NodeId> nodes;
  if (directory_ != nullptr) {
    const std::shared_ptr<const NodeTable> table = directory_->table();
    for (const NodeInfo& node : table->nodes) {
      if (node.role != NodeRole::Data && node.state != NodeState::Dead) {
        nodes.push_back(node.id);
      }
    }
  }
  if (nodes.empty()) {
    for (const MemberList::Member& member : registers_.knownMembers().list.acceptors) {
      nodes.push_back(member.id);
    }
  }
  nodes = rendezvousOrder(context_.self().address, std::move(nodes));
  for (const NodeId& seed : options_.seeds) {
    if (std::find(nodes.begin(), nodes.end(), seed) == nodes.end()) {
      nodes.push_back(seed);
    }
  }
  nodes.erase(std::remove(nodes.begin(), nodes.end(), context_.self()), nodes.end());
  return nodes;
}

void ConfigurationCore::chooseNextSource() {
  const std::vector<NodeId> nodes = sources();
  if (nodes.empty()) {
    source_ = NodeId{};
    return;
  }
  const auto found = std::find(nodes.begin(), nodes.end(), source_);
  const bool atEnd = found == nodes.end() || found + 1 == nodes.end();
  source_ = atEnd ? nodes.front() : *(found + 1);
}

void ConfigurationCore::pull() {
  if (pulls_++ % kPullsBetweenPreferences == 0 || source_.empty()) {
    source_ = NodeId{};
    chooseNextSource();
  }
  if (source_.empty()) {
    return;
  }
  pullSentAt_ = context_.now();
  context_.startTimer(kPullTimer, kPullTimeout);
  PullRequest request{++pullId_, versions(), true};
  for (const std::string& registerName : needsFullValue_) {
    request.versions.erase(registerName);
  }
  context_.send(source_, request);
}

void ConfigurationCore::replyToPull(const NodeId& from, const PullRequest& request) {
  PullReply answer;
  answer.requestId = request.requestId;
  answer.proved = hasProof();
  if (answer.proved) {
    answer.ageMilliseconds = roundUpToMilliseconds(context_.now() - provedAt_);
    for (const auto& entry : values_) {
      appendUpdates(entry.first, entry.second, request, answer);
    }
  }
  context_.send(from, answer);
}

void ConfigurationCore::appendUpdates(const std::string& registerName, const RegisterValue& value,
                                      const PullRequest& request, PullReply& answer) const {
  const auto known = request.versions.find(registerName);
  const std::uint64_t knownVersion = known == request.versions.end() ? 0 : known->second;
  if (knownVersion >= value.version) {
    return;
  }
  const auto history = histories_.find(registerName);
  if (request.acceptsPatches && history != histories_.end()) {
    auto patches = history->second.since(knownVersion, value.value.size());
    if (patches) {
      answer.patches.push_back({registerName, std::move(*patches)});
      return;
    }
  }
  answer.values.push_back({registerName, value});
}

bool ConfigurationCore::adoptPatches(const NamedPatches& named) {
  RegisterValue value = current(named.registerName);
  for (const ValuePatch& patch : named.patches) {
    std::optional<RegisterValue> next = applyPatch(value, patch);
    if (!next) {
      // Versions are unique, so this is a fault; the whole value mends it.
      context_.counters().add("configuration_patches_refused_total");
      needsFullValue_.insert(named.registerName);
      return false;
    }
    value = std::move(*next);
  }
  adopt(named.registerName, value);
  return true;
}

void ConfigurationCore::onPullReply(const PullReply& answer) {
  if (answer.requestId != pullId_) {
    return;
  }
  context_.stopTimer(kPullTimer);
  const Duration age = std::chrono::milliseconds(answer.ageMilliseconds);
  if (!answer.proved || age > kOldProof) {
    chooseNextSource();
  }
  const Time moment = pullSentAt_ - age;
  if (!answer.proved || age > kFreshnessLease || moment < startedAt_) {
    if (neverProved()) {
      context_.startTimer(kFirstProofTimer, kFirstProofInterval);
    }
    return;
  }
  for (const NamedValue& named : answer.values) {
    adopt(named.registerName, named.value);
  }
  bool whole = true;
  for (const NamedPatches& named : answer.patches) {
    whole = adoptPatches(named) && whole;
  }
  if (whole) {
    recordProof(moment);
  }
}

void ConfigurationCore::receive(const NodeId& from, const Message& message) {
  if (options_.isControl) {
    dispatchMessage<PullRequest>(message,
                                 [&](const PullRequest& request) { replyToPull(from, request); });
  }
  dispatchMessage<PullReply>(message, [&](const PullReply& answer) { onPullReply(answer); });
}

void ConfigurationCore::timerExpired(TimerId timer) {
  switch (timer) {
  case kTickTimer:
    tick();
    return;
  case kPullTimer:
    chooseNextSource();
    pull();
    return;
  case kFirstProofTimer:
    if (neverProved()) {
      pull();
    }
    return;
  case kAfterAcceptTimer:
    if (readIsOpen_ && context_.now() - readSentAt_ < kPullTimeout) {
      context_.startTimer(kAfterAcceptTimer, kProofAfterAccept);  // Let the open read finish.
      return;
    }
    afterAcceptRuns_ = false;
    proveByQuorum();
    return;
  default:
    return;
  }
}

}  // namespace shedshed

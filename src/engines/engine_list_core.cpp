#include "engines/engine_list_core.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kPullTimer = 1;
constexpr TimerId kTimeoutTimer = 2;

/// Pulls after which a node returns to the first of its sources.
constexpr std::uint32_t kPullsBetweenPreferences = 6;

/// Pulls without an answer that are remembered: a slow source answers late.
constexpr std::size_t kMaxOpenPulls = 8;

/// Pulls that wait for the reading in progress at most.
constexpr std::size_t kMaxWaitingPulls = 4096;

}  // namespace

EngineListCore::EngineListCore(CoreContext& context, Directory& directory, ListingSource* source,
                               EngineListOptions options)
    : context_(context), directory_(directory), options_(options),
      table_(std::make_shared<const EngineTable>()), reader_(context, source) {}

void EngineListCore::start() {
  startedAt_ = context_.now();
  lastRequest_ = context_.random()() >> 1U;
  pull();
}

void EngineListCore::addListener(std::function<void(const EngineTable&)> listener) {
  listeners_.push_back(std::move(listener));
}

void EngineListCore::receive(const NodeId& from, const Message& message) {
  dispatchMessage<ListingPull>(message, [&](const ListingPull& typed) { onPull(from, typed); }) ||
      dispatchMessage<ListingAnswer>(message, [&](const ListingAnswer& typed) { onAnswer(typed); });
}

void EngineListCore::timerExpired(TimerId timer) {
  if (timer == kTimeoutTimer || !hasListing()) {
    ++nextSource_;
  }
  pull();
}

std::vector<NodeId> EngineListCore::readers(const NodeTable& nodes) const {
  std::vector<NodeId> readers = nodes.live(NodeRole::Register);
  std::stable_partition(readers.begin(), readers.end(), [&](const NodeId& id) {
    return nodes.find(id)->state != NodeState::Draining;
  });
  return readers;
}

std::vector<NodeId> EngineListCore::sources() const {
  const std::shared_ptr<const NodeTable> nodes = directory_.table();
  const NodeInfo* self = nodes->find(context_.self());
  const bool pullsFromRelays = self != nullptr && self->role == NodeRole::Data &&
                               nodes->nodes.size() > options_.directPullers;
  std::vector<NodeId> sources = readers(*nodes);
  if (pullsFromRelays) {
    const std::vector<NodeId> stores = nodes->live(NodeRole::Store);
    sources.insert(sources.end(), stores.begin(), stores.end());
    sources = rendezvousOrder(context_.self().address, std::move(sources));
  }
  return sources;
}

bool EngineListCore::mustRead() const {
  if (!reader_.hasSource()) {
    return false;
  }
  const std::vector<NodeId> nodes = readers(*directory_.table());
  const bool isFirst = nodes.empty() || nodes.front() == context_.self();
  const Time current = std::max(startedAt_, provedAt_);
  return isFirst || context_.now() - current > options_.oldListing;
}

void EngineListCore::pull() {
  context_.stopTimer(kTimeoutTimer);
  context_.startTimer(kPullTimer,
                      hasListing() ? options_.pullInterval : options_.firstPullInterval);
  if (!waitingPulls_.empty() && mustRead()) {
    readSource();
  }
  const std::vector<NodeId> nodes = sources();
  if (nodes.empty()) {
    return;
  }
  if (++pulls_ % kPullsBetweenPreferences == 0) {
    nextSource_ = 0;
  }
  openPulls_[++lastRequest_] = context_.now();
  if (openPulls_.size() > kMaxOpenPulls) {
    openPulls_.erase(openPulls_.begin());
  }
  context_.startTimer(kTimeoutTimer, options_.pullTimeout);
  context_.send(nodes[nextSource_ % nodes.size()], ListingPull{lastRequest_, digest_});
}

void EngineListCore::onAnswer(const ListingAnswer& answer) {
  const auto open = openPulls_.find(answer.request);
  if (open == openPulls_.end()) {
    return;
  }
  const Time sentAt = open->second;
  openPulls_.erase(open);
  context_.stopTimer(kTimeoutTimer);
  const Duration age = std::chrono::milliseconds(answer.ageMilliseconds);
  if (!answer.known || age > options_.oldListing) {
    ++nextSource_;
  }
  if (answer.known) {
    adopt(answer, sentAt - age);
  }
}

void EngineListCore::adopt(const ListingAnswer& answer, Time provedAt) {
  if (provedAt <= provedAt_) {
    return;
  }
  if (answer.digest != digest_ && answer.engines.empty() && digest_ != 0 &&
      answer.digest != listingDigest({})) {
    return;  // Omitted for a digest that this node no longer has.
  }
  provedAt_ = provedAt;
  if (answer.digest != digest_) {
    digest_ = answer.digest;
    auto next = std::make_shared<EngineTable>();
    next->engines = answer.engines;
    table_.publish(next);
    context_.counters().add("engine_lists_adopted_total");
    for (const auto& listener : listeners_) {
      listener(*next);
    }
  }
  if (!reader_.reading()) {
    answerWaitingPulls();
  }
}

void EngineListCore::onPull(const NodeId& from, const ListingPull& pull) {
  const bool recent = reader_.cachedAt() != Time::min() &&
                      context_.now() - reader_.cachedAt() <= options_.refreshAge;
  const bool reads = !recent && mustRead();
  if (recent || (!reads && hasListing())) {
    answer(from, pull);
    return;
  }
  if (waitingPulls_.size() < kMaxWaitingPulls) {
    waitingPulls_.push_back({from, pull});
  }
  if (reads) {
    readSource();
  }
}

void EngineListCore::answer(const NodeId& to, const ListingPull& pull) {
  const bool fromTable = provedAt_ > reader_.cachedAt();
  const Time current = std::max(provedAt_, reader_.cachedAt());
  ListingAnswer answer;
  answer.request = pull.request;
  answer.known = current != Time::min();
  if (answer.known) {
    answer.ageMilliseconds =
        static_cast<std::uint64_t>(toMilliseconds(context_.now() - current)) + 1;
    answer.digest = fromTable ? digest_ : reader_.cachedDigest();
    if (pull.digest != answer.digest) {
      answer.engines = fromTable ? table()->engines : reader_.cached();
    }
  }
  context_.send(to, answer);
}

void EngineListCore::answerWaitingPulls() {
  const std::vector<WaitingPull> waiting = std::move(waitingPulls_);
  waitingPulls_.clear();
  for (const WaitingPull& entry : waiting) {
    answer(entry.from, entry.pull);
  }
}

void EngineListCore::readSource() {
  reader_.read([this] { answerWaitingPulls(); });
}

}  // namespace shedshed

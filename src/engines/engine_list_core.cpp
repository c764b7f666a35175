#include "engines/engine_list_core.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kPullTimer = 1;
constexpr TimerId kTimeoutTimer = 2;

/// Number of pulls after which a node tries the first of its sources again.
constexpr std::uint32_t kPullsBetweenSourceResets = 6;

/// Maximum number of unanswered pulls that are tracked: a slow source replies late.
constexpr std::size_t kMaxOutstandingPulls = 8;

/// Maximum number of pulls that wait for the read in progress.
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
      dispatchMessage<ListingReply>(message, [&](const ListingReply& typed) { onReply(typed); });
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
  const Time asOf = std::max(startedAt_, validatedAt_);
  return isFirst || context_.now() - asOf > options_.staleListingAge;
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
  if (++pulls_ % kPullsBetweenSourceResets == 0) {
    nextSource_ = 0;
  }
  outstandingPulls_[++lastRequest_] = context_.now();
  if (outstandingPulls_.size() > kMaxOutstandingPulls) {
    outstandingPulls_.erase(outstandingPulls_.begin());
  }
  context_.startTimer(kTimeoutTimer, options_.pullTimeout);
  context_.send(nodes[nextSource_ % nodes.size()], ListingPull{lastRequest_, digest_});
}

void EngineListCore::onReply(const ListingReply& reply) {
  const auto outstanding = outstandingPulls_.find(reply.request);
  if (outstanding == outstandingPulls_.end()) {
    return;
  }
  const Time sentAt = outstanding->second;
  outstandingPulls_.erase(outstanding);
  context_.stopTimer(kTimeoutTimer);
  const Duration age = std::chrono::milliseconds(reply.ageMilliseconds);
  if (!reply.known || age > options_.staleListingAge) {
    ++nextSource_;
  }
  if (reply.known) {
    adopt(reply, sentAt - age);
  }
}

void EngineListCore::adopt(const ListingReply& reply, Time validatedAt) {
  if (validatedAt <= validatedAt_) {
    return;
  }
  if (reply.digest != digest_ && reply.engines.empty() && digest_ != 0 &&
      reply.digest != listingDigest({})) {
    return;  // The engines were omitted for a digest that this node no longer has.
  }
  validatedAt_ = validatedAt;
  if (reply.digest != digest_) {
    digest_ = reply.digest;
    auto next = std::make_shared<EngineTable>();
    next->engines = reply.engines;
    table_.publish(next);
    context_.counters().add("engine_lists_adopted_total");
    for (const auto& listener : listeners_) {
      listener(*next);
    }
  }
  if (!reader_.reading()) {
    replyToWaitingPulls();
  }
}

void EngineListCore::onPull(const NodeId& from, const ListingPull& pull) {
  const bool recent = reader_.cachedAt() != Time::min() &&
                      context_.now() - reader_.cachedAt() <= options_.refreshAge;
  const bool reads = !recent && mustRead();
  if (recent || (!reads && hasListing())) {
    reply(from, pull);
    return;
  }
  if (waitingPulls_.size() < kMaxWaitingPulls) {
    waitingPulls_.push_back({from, pull});
  }
  if (reads) {
    readSource();
  }
}

void EngineListCore::reply(const NodeId& to, const ListingPull& pull) {
  const bool fromTable = validatedAt_ > reader_.cachedAt();
  const Time asOf = std::max(validatedAt_, reader_.cachedAt());
  ListingReply reply;
  reply.request = pull.request;
  reply.known = asOf != Time::min();
  if (reply.known) {
    reply.ageMilliseconds = static_cast<std::uint64_t>(toMilliseconds(context_.now() - asOf)) + 1;
    reply.digest = fromTable ? digest_ : reader_.cachedDigest();
    if (pull.digest != reply.digest) {
      reply.engines = fromTable ? table()->engines : reader_.cached();
    }
  }
  context_.send(to, reply);
}

void EngineListCore::replyToWaitingPulls() {
  const std::vector<WaitingPull> waiting = std::move(waitingPulls_);
  waitingPulls_.clear();
  for (const WaitingPull& entry : waiting) {
    reply(entry.from, entry.pull);
  }
}

void EngineListCore::readSource() {
  reader_.read([this] { replyToWaitingPulls(); });
}

}  // namespace shedshed

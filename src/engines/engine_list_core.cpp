#include "engines/engine_list_core.h"

#include "kernel/rendezvous.h"

#include <algorithm>

namespace shedshed {
namespace {

constexpr TimerId kPullTimer = 1;
constexpr TimerId kTimeoutTimer = 2;

/// Pulls after which a node goes back to the first reader in the order.
constexpr std::uint32_t kPullsBetweenPreferences = 6;

/// Pulls without an answer that are remembered: a slow source answers late.
constexpr std::size_t kMostOpenPulls = 8;

/// Pulls that wait for one reading of the source at most.
constexpr std::size_t kMostWaiting = 4096;

std::uint64_t digestOfEngines(const std::vector<EngineInfo>& engines) {
  return hash64(encodeRecord(engines)) | 1U;  // Never 0, which means "none".
}

}  // namespace

EngineListCore::EngineListCore(CoreContext& context, Directory& directory, ListingSource* source,
                               EngineListOptions options)
    : context_(context), directory_(directory), source_(source), options_(options),
      table_(std::make_shared<const EngineTable>()) {}

void EngineListCore::start() {
  startedAt_ = context_.now();
  request_ = context_.random()() >> 1U;
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
  if (timer == kTimeoutTimer || neverProved()) {
    ++next_;
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
  if (source_ == nullptr) {
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
                      neverProved() ? options_.firstPullInterval : options_.pullInterval);
  if (!waiting_.empty() && mustRead()) {
    readSource();
  }
  const std::vector<NodeId> nodes = sources();
  if (nodes.empty()) {
    return;
  }
  if (++pulls_ % kPullsBetweenPreferences == 0) {
    next_ = 0;
  }
  openPulls_[++request_] = context_.now();
  if (openPulls_.size() > kMostOpenPulls) {
    openPulls_.erase(openPulls_.begin());
  }
  context_.startTimer(kTimeoutTimer, options_.pullTimeout);
  context_.send(nodes[next_ % nodes.size()], ListingPull{request_, digest_});
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
    ++next_;
  }
  if (answer.known) {
    adopt(answer, sentAt - age);
  }
}

void EngineListCore::adopt(const ListingAnswer& answer, Time moment) {
  if (moment <= provedAt_) {
    return;
  }
  if (answer.digest != digest_ && answer.engines.empty() && digest_ != 0 &&
      answer.digest != digestOfEngines({})) {
    return;  // Left out for a digest that this node does not hold any more.
  }
  provedAt_ = moment;
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
  if (!reading_) {
    answerWaiting();
  }
}

void EngineListCore::onPull(const NodeId& from, const ListingPull& pull) {
  const bool recent =
      copyReadAt_ != Time::min() && context_.now() - copyReadAt_ <= options_.refreshAge;
  const bool reads = !recent && mustRead();
  if (recent || (!reads && !neverProved())) {
    answer(from, pull);
    return;
  }
  if (waiting_.size() < kMostWaiting) {
    waiting_.push_back({from, pull});
  }
  if (reads) {
    readSource();
  }
}

void EngineListCore::answer(const NodeId& to, const ListingPull& pull) {
  const bool fromTable = provedAt_ > copyReadAt_;
  const Time current = std::max(provedAt_, copyReadAt_);
  ListingAnswer answer;
  answer.request = pull.request;
  answer.known = current != Time::min();
  if (answer.known) {
    answer.ageMilliseconds =
        static_cast<std::uint64_t>(toMilliseconds(context_.now() - current)) + 1;
    answer.digest = fromTable ? digest_ : copyDigest_;
    if (pull.digest != answer.digest) {
      answer.engines = fromTable ? table()->engines : copy_;
    }
  }
  context_.send(to, answer);
}

void EngineListCore::answerWaiting() {
  const std::vector<Waiting> waiting = std::move(waiting_);
  waiting_.clear();
  for (const Waiting& asker : waiting) {
    answer(asker.from, asker.pull);
  }
}

void EngineListCore::readSource() {
  if (reading_) {
    return;
  }
  reading_ = true;
  const Time begun = context_.now();
  source_->read([this, begun](Result<std::vector<EngineInfo>> engines) {
    sourceRead(begun, std::move(engines));
  });
}

void EngineListCore::sourceRead(Time begun, Result<std::vector<EngineInfo>> engines) {
  reading_ = false;
  if (engines) {
    copy_ = std::move(engines.value());
    std::sort(copy_.begin(), copy_.end(),
              [](const EngineInfo& left, const EngineInfo& right) { return left.id < right.id; });
    copyDigest_ = digestOfEngines(copy_);
    copyReadAt_ = begun;
    context_.counters().add("engine_list_reads_total");
  } else {
    context_.counters().add("engine_list_read_failures_total");
  }
  answerWaiting();
}

}  // namespace shedshed

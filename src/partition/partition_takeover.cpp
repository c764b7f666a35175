#include "partition/partition_takeover.h"

#include <algorithm>
#include <utility>

namespace shedshed {

namespace {

/// Time that a takeover of a durable partition waits for all members when too few of those that
/// answer are undamaged: an absent member may still hold what they lost.
constexpr Duration kDurableMemoryWait = std::chrono::seconds(60);

}  // namespace

PartitionTakeover::PartitionTakeover(CoreContext& context, const StoreSet& stores,
                                     PartitionReplica& replica, const PartitionOptions& options,
                                     std::uint64_t epoch, std::function<void()> changed)
    : context_(context), stores_(stores), replica_(replica), options_(options),
      changed_(std::move(changed)) {
  outcome_.epoch = epoch;
  outcome_.replicas = stores.replicas(replica.partition());
  progressAt_ = context.now();
}

void PartitionTakeover::begin() {
  const std::weak_ptr<bool> alive = alive_;
  replica_.promise(outcome_.epoch, context_.self(), [this, alive](const PromiseAnswer& answer) {
    if (!alive.expired()) {
      receive(context_.self(), options_.storeId, answer);
      changed_();
    }
  });
}

std::vector<NodeId> PartitionTakeover::unasked() {
  const bool selfPromised = answers_.count(context_.self()) != 0;
  const bool due = !asked_ || context_.now() - askedAt_ >= kPartitionRetransmit;
  if (state_ != State::Promising || !selfPromised || !due) {
    return {};
  }
  asked_ = true;
  askedAt_ = context_.now();
  std::set<NodeId> nodes;
  for (const StoreMembers* set : {&outcome_.replicas, &outcome_.previous}) {
    for (const MemberList::Member& member : *set) {
      if (!answered(member)) {
        nodes.insert(member.id);
      }
    }
  }
  nodes.erase(context_.self());
  return {nodes.begin(), nodes.end()};
}

void PartitionTakeover::receive(const NodeId& from, const std::string& storeId,
                                const PromiseAnswer& answer) {
  if (answer.epoch != outcome_.epoch || state_ != State::Promising) {
    return;
  }
  if (!answer.granted) {
    refusedBy_ = std::max(refusedBy_, answer.promisedEpoch);
    state_ = State::Refused;
    return;
  }
  answers_[from] = {storeId, answer};
  findPrevious();
  evaluate();
}

bool PartitionTakeover::answered(const MemberList::Member& member) const {
  const auto found = answers_.find(member.id);
  return found != answers_.end() && found->second.storeId == member.storeId;
}

bool PartitionTakeover::answeredIntact(const MemberList::Member& member) const {
  return answered(member) && answers_.at(member.id).answer.intact;
}

bool PartitionTakeover::allAnswered(bool deadToo) const {
  return std::all_of(outcome_.replicas.begin(), outcome_.replicas.end(),
                     [&](const MemberList::Member& member) {
                       return answered(member) || (!deadToo && !stores_.isLive(member));
                     });
}

bool PartitionTakeover::joinedMajority(
    const std::function<bool(const MemberList::Member&)>& holds) const {
  const bool previous = outcome_.previous.empty() || majorityOf(outcome_.previous, holds);
  return previous && majorityOf(outcome_.replicas, holds);
}

void PartitionTakeover::findPrevious() {
  std::uint64_t newest = 0;
  for (const auto& entry : answers_) {
    const PromiseAnswer& answer = entry.second.answer;
    if (answer.setEpoch > newest) {
      newest = answer.setEpoch;
      outcome_.previous = answer.replicas;
    }
  }
}

void PartitionTakeover::evaluate() {
  const auto promised = [this](const MemberList::Member& member) { return answered(member); };
  if (answers_.count(context_.self()) == 0 || !joinedMajority(promised)) {
    return;
  }
  if (!majorityAt_) {
    majorityAt_ = context_.now();
  }
  const auto intact = [this](const MemberList::Member& member) { return answeredIntact(member); };
  if (joinedMajority(intact)) {
    outcome_.recovery = RecoveryKind::Complete;
  } else if (memoryWaitOver()) {
    outcome_.recovery = RecoveryKind::MemoryLost;
  } else {
    return;
  }
  beginMerge();
}

bool PartitionTakeover::memoryWaitOver() const {
  const Duration waited = context_.now() - *majorityAt_;
  if (replica_.partition().kind == TableKind::Batches) {
    return allAnswered(true) || waited >= kDurableMemoryWait;
  }
  return allAnswered(false) || waited >= kMemoryWait;
}

void PartitionTakeover::beginMerge() {
  state_ = State::Merging;
  progressAt_ = context_.now();
  std::uint64_t newest = 0;
  for (const auto& entry : answers_) {
    newest = std::max(newest, entry.second.answer.installedEpoch);
  }
  bool equalSource = false;
  for (const auto& entry : answers_) {
    const PromiseAnswer& answer = entry.second.answer;
    if (newest == 0 || answer.installedEpoch != newest || entry.first == context_.self()) {
      continue;
    }
    if (answer.checksum == replica_.table().checksum()) {
      equalSource = true;
    }
    sources_.push_back(entry.first);
  }
  const bool selfNewest = answers_.at(context_.self()).answer.installedEpoch == newest;
  replace_ = !selfNewest && !equalSource;
  fetchNext();
}

void PartitionTakeover::fetchNext() {
  while (!sources_.empty()) {
    const PromiseAnswer& answer = answers_.at(sources_.front()).answer;
    if (replace_ || answer.checksum != replica_.table().checksum()) {
      fetchFromStart_ = true;
      fetchAfter_.clear();
      sendFetch();
      return;
    }
    sources_.erase(sources_.begin());
  }
  finish();
}

void PartitionTakeover::sendFetch() {
  fetchSentAt_ = context_.now();
  context_.send(sources_.front(),
                FetchRequest{replica_.partition(), outcome_.epoch, fetchFromStart_, fetchAfter_});
}

void PartitionTakeover::receive(const NodeId& from, const FetchReply& reply) {
  const bool expected =
      state_ == State::Merging && reply.epoch == outcome_.epoch && !sources_.empty() &&
      from == sources_.front() && reply.storeId == answers_.at(from).storeId &&
      reply.page.fromStart == fetchFromStart_ && reply.page.afterKey == fetchAfter_;
  if (!expected) {
    return;
  }
  progressAt_ = context_.now();
  replica_.absorb(reply.page, outcome_.epoch, replace_);
  context_.counters().add("partition_takeover_rows_total",
                          static_cast<double>(reply.page.rows.size()));
  if (!reply.page.last) {
    fetchFromStart_ = false;
    fetchAfter_ = reply.page.throughKey;
    sendFetch();
    return;
  }
  replace_ = false;
  sources_.erase(sources_.begin());
  fetchNext();
}

std::string PartitionTakeover::progress() const {
  const auto count = [](const StoreMembers& set, const auto& holds) {
    return std::to_string(std::count_if(set.begin(), set.end(), holds)) + " of " +
           std::to_string(set.size());
  };
  const auto promised = [this](const MemberList::Member& member) { return answered(member); };
  const auto intact = [this](const MemberList::Member& member) { return answeredIntact(member); };
  return std::string(state_ == State::Promising ? "asks for promises" : "merges") + ": " +
         count(outcome_.replicas, promised) + " replicas promised, " +
         count(outcome_.replicas, intact) + " intact, " + count(outcome_.previous, promised) +
         " earlier ones, " + std::to_string(sources_.size()) + " tables to fetch";
}

void PartitionTakeover::tick() {
  const Time now = context_.now();
  if (state_ == State::Promising) {
    evaluate();
  }
  if (state_ == State::Merging && now - fetchSentAt_ >= kPartitionRetransmit) {
    sendFetch();
  }
  if (state_ == State::Merging && now - progressAt_ >= kTakeoverTimeout) {
    state_ = State::Refused;
  }
}

void PartitionTakeover::markLostMemory() {
  TablePage page;
  page.last = true;
  page.rows.push_back(VersionedRow{kRecoveringRow, Version{outcome_.epoch, 0}, false, ""});
  replica_.absorb(page, outcome_.epoch, false);
}

void PartitionTakeover::finish() {
  const bool slots = replica_.partition().kind == TableKind::Slots;
  if (slots && outcome_.recovery == RecoveryKind::MemoryLost) {
    markLostMemory();
  }
  for (const auto& entry : answers_) {
    outcome_.checksums[entry.first] = entry.second.answer.checksum;
  }
  state_ = State::Done;
}

}  // namespace shedshed

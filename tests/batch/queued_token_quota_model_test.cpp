/// Model test of the queued-token limit: seeded schedules over three stores with changing owners of
/// batches and of the quota, and lost, delayed and duplicated messages.
#include "batch/batch_owner_core.h"
#include "batch/queued_token_quota.h"
#include "batch_fleet.h"

namespace shedshed::test {
namespace {

constexpr std::uint64_t kLimit = 100;
constexpr int kStores = 3;
constexpr int kSteps = 2500;
constexpr int kSeeds = 80;

const char* const kSettings =
    R"({"services":{"s":{}},"routes":{"r":{"host":"h","path_prefix":"/","kind":"batch",)"
    R"("timeout_ms":1000,"service":"s","max_queued_tokens":100}}})";

/// Partition state that is durable on a majority of replicas.
struct ReplicatedState {
  struct Partition {
    int owner = 0;
    std::uint64_t epoch = 1;
    std::map<std::string, std::string> rows;
  };
  std::map<PartitionId, Partition> partitions;
};

/// Partition store of one node. It assumes that it still owns a partition until `refreshOwnership`.
class ModelStore : public PartitionStore {
 public:
  ModelStore(ReplicatedState& replicated, int index) : replicated_(replicated), index_(index) {}
  void setListener(TableKind, PartitionListener& listener) override { listener_ = &listener; }
  bool owns(const PartitionId& partition) const override {
    return ownedEpochs_.count(partition) != 0;
  }
  std::uint64_t epoch(const PartitionId& partition) const override {
    const auto found = ownedEpochs_.find(partition);
    return found == ownedEpochs_.end() ? 0 : found->second;
  }
  NodeId ownerHint(const PartitionId& partition) const override {
    if (owns(partition)) {
      return NodeId{"s" + std::to_string(index_)};
    }
    const auto known = hints_.find(partition);
    return known == hints_.end() ? NodeId() : NodeId{"s" + std::to_string(known->second)};
  }
  void write(const PartitionId& partition, std::vector<TableEntry> entries,
             std::function<void(Status)> done) override {
    FakePartitionStore::apply(rows_[partition], entries);
    pending.push_back([this, partition, entries = std::move(entries), done = std::move(done),
                       epoch = epoch(partition)] {
      ReplicatedState::Partition& stored = replicated_.partitions.at(partition);
      const bool current = stored.epoch == epoch;
      if (current) {
        FakePartitionStore::apply(stored.rows, entries);
      }
      done(current ? okStatus() : Status(makeError(ErrorCode::NotOwner)));
    });
  }
  void confirmOwnership(const PartitionId& partition, std::function<void(Status)> done) override {
    pending.push_back([this, partition, done = std::move(done), epoch = epoch(partition)] {
      const bool current = replicated_.partitions.at(partition).epoch == epoch;
      done(current ? okStatus() : Status(makeError(ErrorCode::NotOwner)));
    });
  }
  std::optional<std::string> get(const PartitionId& partition,
                                 std::string_view key) const override {
    const auto& table = rows_[partition];
    const auto found = table.find(std::string(key));
    return found == table.end() ? std::nullopt : std::optional<std::string>(found->second);
  }
  void
  forEach(const PartitionId& partition, std::string_view prefix,
          const std::function<bool(std::string_view, const std::string&)>& visit) const override {
    const auto table = rows_[partition];
    for (auto it = table.lower_bound(std::string(prefix));
         it != table.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
      if (!visit(it->first, it->second)) {
        return;
      }
    }
  }
  void takeOver(const PartitionId& partition) {
    ReplicatedState::Partition& stored = replicated_.partitions[partition];
    stored.owner = index_;
    rows_[partition] = stored.rows;
    ownedEpochs_[partition] = ++stored.epoch;
    if (partition.kind == TableKind::Batches) {
      listener_->ownershipGained(partition, stored.epoch, RecoveryKind::Complete);
    }
  }
  /// Drops lost partitions and learns the current owners.
  void refreshOwnership() {
    for (const auto& [partition, stored] : replicated_.partitions) {
      hints_[partition] = stored.owner;
    }
    for (auto it = ownedEpochs_.begin(); it != ownedEpochs_.end();) {
      if (replicated_.partitions.at(it->first).epoch == it->second) {
        ++it;
        continue;
      }
      const PartitionId lost = it->first;
      it = ownedEpochs_.erase(it);
      if (lost.kind == TableKind::Batches) {
        listener_->ownershipLost(lost);
      }
    }
  }
  std::deque<std::function<void()>> pending;

 private:
  ReplicatedState& replicated_;
  int index_;
  PartitionListener* listener_ = nullptr;
  std::map<PartitionId, std::uint64_t> ownedEpochs_;
  std::map<PartitionId, int> hints_;
  mutable std::map<PartitionId, std::map<std::string, std::string>> rows_;
};

class QuotaSimulation {
 public:
  QuotaSimulation(std::uint64_t seed, BatchSafeguards safeguards) : random_(seed) {
    harness_.random.seed(seed);
    configuration_.values[kSettingsRegister] = RegisterValue{1, kSettings};
    MemberList members;
    for (int index = 0; index < kStores; ++index) {
      const std::string name = "s" + std::to_string(index);
      members.stores.push_back({NodeId{name}, name});
    }
    configuration_.values[kMembersRegister] = RegisterValue{1, encodeRecord(members)};
    BatchOwnerOptions options;
    options.safeguards = safeguards;
    for (int index = 0; index < kStores; ++index) {
      const std::string name = "s" + std::to_string(index);
      directory_.set(name, NodeRole::Store, NodeState::Alive);
      stores_.push_back(std::make_unique<ModelStore>(replicated_, index));
      auto& ownerContext = harness_.context(name, ServiceId::BatchOwner);
      auto& quotaContext = harness_.context(name, ServiceId::WaitingTokens);
      owners_.push_back(std::make_unique<BatchOwnerCore>(ownerContext, *stores_.back(),
                                                         configuration_, directory_, options));
      quotas_.push_back(std::make_unique<QueuedTokenQuota>(quotaContext, *stores_.back(),
                                                           configuration_, directory_, safeguards));
      harness_.attach(ownerContext, *owners_.back());
      harness_.attach(quotaContext, *quotas_.back());
    }
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      replicated_.partitions[PartitionId{TableKind::Batches, index}];
    }
    replicated_.partitions[QueuedTokenQuota::partition()];
    for (auto& owner : owners_) {
      owner->start();
    }
    for (const auto& entry : replicated_.partitions) {
      stores_[randomBelow(kStores)]->takeOver(entry.first);
    }
  }

  /// Runs the schedule. @return the maximum number of queued tokens in accepted batches
  std::uint64_t run() {
    std::uint64_t maxQueued = 0;
    for (int step = 0; step < kSteps; ++step) {
      runStep();
      maxQueued = std::max(maxQueued, queuedTokens());
    }
    return maxQueued;
  }
  std::size_t accepted() const { return accepted_.size(); }

 private:
  std::size_t randomBelow(std::size_t bound) { return random_() % bound; }

  void runStep() {
    switch (randomBelow(20)) {
    case 0:
      submit();
      break;
    case 1:
      cancelBatch();
      break;
    case 2:
      moveOwnership();
      break;
    case 3:
    case 11:
    case 12:
      stores_[randomBelow(kStores)]->refreshOwnership();
      break;
    case 4:
    case 5:
      harness_.now += 20ms;
      harness_.fireTimerDueBy(harness_.now);
      break;
    case 6:
    case 7:
    case 8:
    case 9:
    case 10:
      completeWrites();
      break;
    default:
      for (std::size_t count = randomBelow(40); count > 0; --count) {
        deliverMessage();
      }
      break;
    }
  }
  void submit() {
    SubmitChunk chunk;
    const bool again = !sent_.empty() && randomBelow(4) == 0;
    if (again) {
      chunk = sent_[randomBelow(sent_.size())];
    } else {
      chunk.request = ++lastRequest_;
      chunk.batchId = "b" + std::to_string(lastRequest_);
      chunk.itemCount = 1;
      chunk.items = {"item"};
      chunk.route = "r";
      chunk.tokens = {20 + 10 * randomBelow(5)};
      chunk.last = true;
      std::string hashes;
      appendItemHashes(hashes, chunk.items);
      chunk.digest = itemsDigest(hashes);
      sent_.push_back(chunk);
    }
    const PartitionId partition = partitionOf(TableKind::Batches, chunk.batchId);
    const int owner = replicated_.partitions.at(partition).owner;
    const std::size_t to =
        randomBelow(5) == 0 ? randomBelow(kStores) : static_cast<std::size_t>(owner);
    harness_.queue.push_back(
        {NodeId{"front"}, NodeId{"s" + std::to_string(to)}, encodeMessage(chunk)});
  }
  void cancelBatch() {
    if (accepted_.empty()) {
      return;
    }
    auto chosen = accepted_.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(randomBelow(accepted_.size())));
    BatchQuery query;
    query.kind = static_cast<std::uint8_t>(BatchQueryKind::Cancel);
    query.batchId = *chosen;
    ended_.insert(*chosen);
    const PartitionId partition = partitionOf(TableKind::Batches, query.batchId);
    const int owner = replicated_.partitions.at(partition).owner;
    harness_.queue.push_back(
        {NodeId{"front"}, NodeId{"s" + std::to_string(owner)}, encodeMessage(query)});
  }
  void moveOwnership() {
    if (randomBelow(4) != 0) {
      return;
    }
    const std::size_t to = randomBelow(kStores);
    if (randomBelow(3) == 0) {
      stores_[to]->takeOver(QueuedTokenQuota::partition());
      return;
    }
    if (!sent_.empty()) {
      const std::string& batchId = sent_[randomBelow(sent_.size())].batchId;
      stores_[to]->takeOver(partitionOf(TableKind::Batches, batchId));
    }
  }
  void completeWrites() {
    ModelStore& store = *stores_[randomBelow(kStores)];
    for (std::size_t count = randomBelow(20); count > 0 && !store.pending.empty(); --count) {
      const auto done = std::move(store.pending.front());
      store.pending.pop_front();
      done();
    }
  }
  void deliverMessage() {
    if (harness_.queue.empty()) {
      return;
    }
    // Mostly delivers messages approximately in order; sometimes picks any message in the queue.
    const std::size_t window = randomBelow(10) == 0 ? harness_.queue.size() : 3;
    const std::size_t index = randomBelow(std::min(window, harness_.queue.size()));
    if (randomBelow(15) == 0) {
      harness_.queue.erase(harness_.queue.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    }
    harness_.deliverAt(index, randomBelow(15) == 0);
  }
  std::uint64_t queuedTokens() {
    std::uint64_t total = 0;
    for (const SubmitChunk& chunk : sent_) {
      const PartitionId partition = partitionOf(TableKind::Batches, chunk.batchId);
      if (replicated_.partitions.at(partition).rows.count(metaKey(chunk.batchId)) == 0) {
        continue;
      }
      accepted_.insert(chunk.batchId);
      total += ended_.count(chunk.batchId) != 0 ? 0 : chunk.tokens.front();
    }
    return total;
  }

  Harness harness_;
  RandomEngine random_;
  FakeDirectory directory_;
  FakeConfiguration configuration_;
  ReplicatedState replicated_;
  std::vector<std::unique_ptr<ModelStore>> stores_;
  std::vector<std::unique_ptr<BatchOwnerCore>> owners_;
  std::vector<std::unique_ptr<QueuedTokenQuota>> quotas_;
  std::vector<SubmitChunk> sent_;
  std::set<std::string> accepted_;
  std::set<std::string> ended_;
  std::uint64_t lastRequest_ = 0;
};

/// Returns the maximum number of queued tokens over all seeds, and the total of accepted batches.
std::pair<std::uint64_t, std::size_t> runSeeds(const BatchSafeguards& safeguards) {
  std::uint64_t maxQueued = 0;
  std::size_t accepted = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation simulation(static_cast<std::uint64_t>(seed), safeguards);
    maxQueued = std::max(maxQueued, simulation.run());
    accepted += simulation.accepted();
  }
  return {maxQueued, accepted};
}

/// Sends a reservation request to a replaced quota owner that was not notified of its lost
/// ownership.
/// @return true if it grants the request
bool replacedQuotaOwnerGrants(const BatchSafeguards& safeguards) {
  Harness harness;
  FakeDirectory directory;
  FakeConfiguration configuration;
  ReplicatedState replicated;
  ModelStore first(replicated, 0);
  ModelStore second(replicated, 1);
  HarnessContext& context = harness.context("s0", ServiceId::WaitingTokens);
  QueuedTokenQuota quota(context, first, configuration, directory, safeguards);
  harness.attach(context, quota);
  first.takeOver(QueuedTokenQuota::partition());
  QueuedTokensReport report;
  report.number = 1;
  report.quotaEpoch = first.epoch(QueuedTokenQuota::partition());
  for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
    report.partitions.push_back({PartitionId{TableKind::Batches, index}, 1, {}});
  }
  quota.receive(NodeId{"s1"}, encodeMessage(report));
  BOOST_REQUIRE(quota.isReady());
  second.takeOver(QueuedTokenQuota::partition());
  ReserveQueuedTokens request;
  request.number = 2;
  request.partition = PartitionId{TableKind::Batches, 0};
  request.epoch = 1;
  request.batch = {"b", {"", "r"}, 10};
  quota.receive(NodeId{"s1"}, encodeMessage(request));
  while (!first.pending.empty()) {
    const auto done = std::move(first.pending.front());
    first.pending.pop_front();
    done();
  }
  return std::any_of(harness.queue.begin(), harness.queue.end(), [](const auto& envelope) {
    return envelope.message.kind == ReserveQueuedTokensReply::kKind;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(queued_token_quota_model)

BOOST_AUTO_TEST_CASE(noScheduleExceedsTheLimit) {
  const auto [maxQueued, accepted] = runSeeds({});
  BOOST_TEST(maxQueued <= kLimit);
  BOOST_TEST(accepted > 300U);
}

BOOST_AUTO_TEST_CASE(mutation_aNewQuotaOwnerThatSkipsTheRebuildExceedsTheLimit) {
  BatchSafeguards safeguards;
  safeguards.rebuildQuotaFromOwners = false;
  BOOST_TEST(runSeeds(safeguards).first > kLimit);
}

/// After a power loss of the whole fleet, the directory of a store may list other stores as dead
/// for seconds. Guards against a rebuild that does not query them.
BOOST_AUTO_TEST_CASE(aNewQuotaOwnerAlsoQueriesStoresThatAreConfirmedDead) {
  Harness harness;
  FakeDirectory directory;
  FakeConfiguration configuration;
  ReplicatedState replicated;
  ModelStore store(replicated, 0);
  directory.set("s0", NodeRole::Store, NodeState::Alive);
  directory.set("s1", NodeRole::Store, NodeState::Dead);
  HarnessContext& context = harness.context("s0", ServiceId::WaitingTokens);
  QueuedTokenQuota quota(context, store, configuration, directory);
  harness.attach(context, quota);
  store.takeOver(QueuedTokenQuota::partition());
  quota.receive(NodeId{"s0"}, encodeMessage(QueuedTokensReport{}));
  const bool queried =
      std::any_of(harness.queue.begin(), harness.queue.end(), [](const auto& envelope) {
        return envelope.to == NodeId{"s1"} && envelope.message.kind == QueuedTokensRequest::kKind;
      });
  BOOST_TEST(queried);
}

BOOST_AUTO_TEST_CASE(aReplacedQuotaOwnerGrantsNothing) {
  BOOST_TEST(!replacedQuotaOwnerGrants({}));
}

BOOST_AUTO_TEST_CASE(mutation_aReplacedQuotaOwnerWithoutProofGrants) {
  BatchSafeguards safeguards;
  safeguards.proveQuotaOwnership = false;
  BOOST_TEST(replacedQuotaOwnerGrants(safeguards));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

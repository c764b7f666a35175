// Fleets with more stores than replicas of a partition.
#include "partition/placement.h"

#include "partition/owner_locator.h"
#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

constexpr std::uint32_t kReplicas = 5;
constexpr int kStores = 13;

/// Thirteen stores, five of which hold each partition. All share one directory.
class LargeFleet {
 public:
  LargeFleet() {
    list.replicas = kReplicas;
    for (int number = 0; number < kStores; ++number) {
      const std::string name = nameOf(number);
      list.stores.push_back({NodeId{name}, "disk-" + name});
      start(name, "disk-" + name);
    }
    publish();
    harness.advance(seconds(2));
  }
  static std::string nameOf(int number) {
    return (number < 10 ? "s0" : "s") + std::to_string(number) + ":1";
  }
  void start(const std::string& name, const std::string& storeId) {
    RunningStore& store = stores[name];
    HarnessContext& context = harness.context(name, ServiceId::Partition);
    if (!list.stores.empty()) {
      store.configuration.setList(list);
    }
    store.core = std::make_unique<PartitionCore>(context, directory, store.configuration,
                                                 PartitionOptions{storeId, {}});
    store.core->setListener(TableKind::Slots, store.recorder);
    store.core->setListener(TableKind::Batches, store.recorder);
    harness.attach(context, *store.core);
    store.core->start();
    directory.set(name, NodeState::Alive, storeId);
  }
  void publish() {
    for (auto& store : stores) {
      store.second.configuration.setList(list);
    }
  }
  /// Ends the process and erases its disk.
  void destroyStore(const std::string& name) {
    harness.settle();
    harness.crash(name);
    harness.records[name] = {};
    harness.synced[name] = {};
    stores.erase(name);
    directory.set(name, NodeState::Dead, "");
  }
  std::string owner(const PartitionId& partition) {
    for (const auto& store : stores) {
      if (store.second.core->owns(partition)) {
        return store.first;
      }
    }
    return {};
  }
  std::optional<std::string> read(const PartitionId& partition) {
    const std::string name = owner(partition);
    return name.empty() ? std::nullopt : stores.at(name).core->get(partition, "key");
  }
  Outcome write(const PartitionId& partition, const std::string& value) {
    Outcome outcome;
    stores.at(owner(partition)).core->write(partition, {{"key", value}}, outcome.callback());
    return outcome;
  }

  Harness harness;
  FakeDirectory directory;
  MemberList list;
  std::map<std::string, RunningStore> stores;
};

std::vector<PartitionId> allPartitions() {
  std::vector<PartitionId> all;
  for (const TableKind kind : {TableKind::Slots, TableKind::Batches}) {
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      all.push_back({kind, index});
    }
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(partitions_have_the_configured_replicas_spread_evenly_over_slots) {
  MemberList list;
  list.replicas = kReplicas;
  for (int number = 0; number < kStores; ++number) {
    list.stores.push_back({NodeId{LargeFleet::nameOf(number)}, "disk"});
  }
  std::map<NodeId, int> held;
  for (const PartitionId& partition : allPartitions()) {
    const StoreMembers replicas = replicasOf(partition, list);
    BOOST_TEST(replicas.size() == kReplicas);
    for (const MemberList::Member& member : replicas) {
      ++held[member.id];
    }
  }
  for (const auto& entry : held) {
    BOOST_TEST(entry.second >= 46);
    BOOST_TEST(entry.second <= 52);
  }
}

BOOST_AUTO_TEST_CASE(a_list_without_a_number_of_replicas_means_all_stores) {
  MemberList list;
  list.stores = {{NodeId{"a:1"}, "a"}, {NodeId{"b:1"}, "b"}};
  BOOST_TEST(replicasOf(kSlots, list).size() == 2U);
  list.replicas = 3;
  BOOST_TEST(replicasOf(kSlots, list).size() == 2U);
}

// The cost of a write must not grow with the number of stores.
BOOST_AUTO_TEST_CASE(a_write_costs_messages_to_the_replicas_only) {
  LargeFleet fleet;
  std::size_t writes = 0;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    writes += envelope.message.kind == ReplicateRequest::kKind ? 1 : 0;
    return true;
  };
  const Outcome outcome = fleet.write(kSlots, "value");
  fleet.harness.advance(milliseconds(40));
  BOOST_TEST(outcome.succeeded());
  BOOST_TEST(writes == kReplicas - 1);
}

BOOST_AUTO_TEST_CASE(callers_ask_replicas_only) {
  LargeFleet fleet;
  OwnerLocator locator(fleet.directory, fleet.stores.begin()->second.configuration);
  for (const PartitionId& partition : allPartitions()) {
    BOOST_TEST(locator.candidate(partition, 0).address == fleet.owner(partition));
  }
}

BOOST_AUTO_TEST_CASE(no_acknowledged_row_is_lost_with_any_two_disks) {
  for (int seed = 0; seed < 12; ++seed) {
    LargeFleet fleet;
    for (const PartitionId& partition : allPartitions()) {
      fleet.write(partition, "value");
    }
    fleet.harness.advance(milliseconds(300));
    fleet.destroyStore(LargeFleet::nameOf(seed % kStores));
    fleet.destroyStore(LargeFleet::nameOf((seed + 1 + seed / 3) % kStores));
    fleet.harness.advance(seconds(8));
    for (const PartitionId& partition : allPartitions()) {
      BOOST_TEST((fleet.read(partition) == Value("value")));
    }
  }
}

// The slots of the member list get new stores one after the other until no original store is left.
BOOST_AUTO_TEST_CASE(rows_survive_the_replacement_of_every_store) {
  LargeFleet fleet;
  for (const PartitionId& partition : allPartitions()) {
    fleet.write(partition, "value");
  }
  fleet.harness.advance(milliseconds(300));
  for (int number = 0; number < kStores; ++number) {
    const std::string old = LargeFleet::nameOf(number);
    const std::string replacement = "n" + old;
    fleet.start(replacement, "disk-" + replacement);
    for (int step = 0; step < 100; ++step) {
      fleet.harness.advance(milliseconds(100));
      if (fleet.stores.at(replacement).core->repairProgress().complete()) {
        break;
      }
    }
    BOOST_REQUIRE(fleet.stores.at(replacement).core->repairProgress().complete());
    fleet.list.stores[number] = {NodeId{replacement}, "disk-" + replacement};
    fleet.publish();
    fleet.harness.advance(seconds(2));
    BOOST_TEST(fleet.stores.at(replacement).core->repairProgress().replacementComplete());
    fleet.destroyStore(old);
  }
  fleet.harness.advance(seconds(8));
  for (const PartitionId& partition : allPartitions()) {
    BOOST_TEST((fleet.read(partition) == Value("value")));
  }
}

// A store that returned with an empty disk is caught up once it has the partitions of its slot.
BOOST_AUTO_TEST_CASE(an_emptied_store_needs_only_the_partitions_of_its_slot) {
  LargeFleet fleet;
  const std::string name = LargeFleet::nameOf(4);
  fleet.destroyStore(name);
  fleet.harness.advance(seconds(2));
  fleet.start(name, "new-disk");
  fleet.harness.advance(seconds(3));
  const RepairProgress progress = fleet.stores.at(name).core->repairProgress();
  BOOST_TEST(progress.total < 53U);
  BOOST_TEST(progress.complete());
}

BOOST_AUTO_TEST_SUITE_END()

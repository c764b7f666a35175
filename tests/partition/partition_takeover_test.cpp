// Ownership of a partition, and the rows that a new owner recovers.
#include "partition/partition_takeover.h"

#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(formation_gives_each_partition_one_owner_with_complete_memory) {
  Fleet fleet;
  for (const TableKind kind : {TableKind::Slots, TableKind::Batches}) {
    for (std::uint32_t index = 0; index < kPartitionCount; ++index) {
      const PartitionId id{kind, index};
      const std::string first = fleet.order(id)[0];
      BOOST_TEST(fleet.owners(id) == std::vector<std::string>{first},
                 boost::test_tools::per_element());
      BOOST_TEST((fleet.recovery(first, id) == RecoveryKind::Complete));
      BOOST_TEST(fleet.core(fleet.order(id)[2]).ownerHint(id).address == first);
    }
  }
}

BOOST_AUTO_TEST_CASE(next_store_serves_all_acknowledged_rows_after_the_owner_died) {
  for (const PartitionId& id : {kSlots, kBatches}) {
    Fleet fleet;
    const auto order = fleet.order(id);
    // The second store misses the writes: it must fetch them from the third.
    fleet.blockLink(order[0], order[1]);
    for (int i = 0; i < 20; ++i) {
      fleet.writeAcknowledged(order[0], id, "key" + std::to_string(i), "value" + std::to_string(i));
    }
    fleet.killAndMarkDead(order[0]);
    fleet.advance(seconds(1));
    BOOST_REQUIRE(fleet.core(order[1]).owns(id));
    BOOST_TEST((fleet.recovery(order[1], id) == RecoveryKind::Complete));
    for (int i = 0; i < 20; ++i) {
      BOOST_TEST((fleet.core(order[1]).get(id, "key" + std::to_string(i)) ==
                  Value("value" + std::to_string(i))));
    }
  }
}

namespace {

/// Blocks only the link between the first owner and the second store, marks the owner dead and lets
/// the second store take over.
void fenceFirstOwner(Fleet& fleet, const PartitionId& id) {
  const auto order = fleet.order(id);
  fleet.blockLink(order[0], order[1]);
  fleet.markDead(order[0]);
  fleet.advance(seconds(1));
  BOOST_REQUIRE(fleet.core(order[1]).owns(id));
}

}  // namespace

BOOST_AUTO_TEST_CASE(partitioned_old_owner_completes_nothing) {
  for (const PartitionId& id : {kSlots, kBatches}) {
    Fleet fleet;
    const auto order = fleet.order(id);
    fleet.blockLink(order[0], order[1]);
    fleet.blockLink(order[0], order[2]);
    fleet.markDead(order[0]);
    fleet.advance(milliseconds(500));
    BOOST_REQUIRE(fleet.core(order[0]).owns(id));
    BOOST_REQUIRE(fleet.core(order[1]).owns(id));
    const Outcome write = fleet.write(order[0], id, "key", "old");
    const Outcome confirmed = fleet.confirm(order[0], id);
    fleet.writeAcknowledged(order[1], id, "key", "new");
    fleet.advance(seconds(2));
    BOOST_TEST(!write.succeeded());
    BOOST_TEST(confirmed.failedWith(ErrorCode::NoQuorum));
    fleet.blockedLinks.clear();
    fleet.advance(seconds(1));
    BOOST_TEST(write.failedWith(ErrorCode::NotOwner));
    BOOST_TEST(fleet.stores[order[0]].recorder.owned.count(id) == 0);
    BOOST_TEST((fleet.core(order[1]).get(id, "key") == Value("new")));
  }
}

BOOST_AUTO_TEST_CASE(owner_without_a_majority_gives_up_ownership) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  fleet.blockLink(order[0], order[1]);
  fleet.blockLink(order[0], order[2]);
  fleet.advance(PartitionOptions::kHeartbeatTimeout + seconds(1));
  BOOST_TEST(!fleet.core(order[0]).owns(kSlots));
  BOOST_TEST(fleet.stores[order[0]].recorder.owned.empty());
}

BOOST_AUTO_TEST_CASE(fenced_owner_cannot_confirm) {
  Fleet fleet;
  fenceFirstOwner(fleet, kSlots);
  const std::string first = fleet.order(kSlots)[0];
  BOOST_TEST(!fleet.core(first).owns(kSlots));
  const Outcome confirmed = fleet.confirm(first, kSlots);
  fleet.advance(milliseconds(100));
  BOOST_TEST(confirmed.failedWith(ErrorCode::NotOwner));
}

BOOST_AUTO_TEST_CASE(without_fencing_two_owners_are_confirmed) {
  PartitionSafeguards safeguards;
  safeguards.fencing = false;
  Fleet fleet(safeguards);
  fenceFirstOwner(fleet, kSlots);
  const auto order = fleet.order(kSlots);
  const Outcome old = fleet.confirm(order[0], kSlots);
  const Outcome present = fleet.confirm(order[1], kSlots);
  fleet.advance(milliseconds(100));
  BOOST_TEST(old.succeeded());
  BOOST_TEST(present.succeeded());
}

namespace {

/// The owner and the third store acknowledge a row that the second has missed. Then the owner dies
/// and the third store restarts with empty memory.
RecoveryKind takeOverWithEmptyReplica(Fleet& fleet) {
  const auto order = fleet.order(kSlots);
  fleet.blockLink(order[0], order[1]);
  fleet.writeAcknowledged(order[0], kSlots, "key", "value");
  fleet.killAndMarkDead(order[0]);
  fleet.kill(order[2]);
  fleet.start(order[2]);
  fleet.advance(seconds(3));
  BOOST_REQUIRE(fleet.core(order[1]).owns(kSlots));
  BOOST_TEST(!fleet.core(order[1]).get(kSlots, "key"));
  return fleet.recovery(order[1], kSlots);
}

}  // namespace

BOOST_AUTO_TEST_CASE(restarted_empty_replica_does_not_count) {
  Fleet fleet;
  BOOST_TEST((takeOverWithEmptyReplica(fleet) == RecoveryKind::MemoryLost));
}

BOOST_AUTO_TEST_CASE(without_the_empty_replica_rule_a_lost_row_goes_unnoticed) {
  PartitionSafeguards safeguards;
  safeguards.emptyReplicaRule = false;
  Fleet fleet(safeguards);
  BOOST_TEST((takeOverWithEmptyReplica(fleet) == RecoveryKind::Complete));
}

/// The marker must be in the installed table itself: an owner that is lost right after its takeover
/// has not written anything yet.
BOOST_AUTO_TEST_CASE(memory_loss_is_marked_in_the_installed_table) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  for (const std::string& name : fleet.names()) {
    fleet.kill(name);
  }
  for (const std::string& name : order) {
    fleet.start(name);
  }
  fleet.advance(seconds(3));
  BOOST_REQUIRE((fleet.recovery(order[0], kSlots) == RecoveryKind::MemoryLost));
  BOOST_TEST(fleet.core(order[0]).get(kSlots, kRecoveringRow).has_value());
  fleet.killAndMarkDead(order[0]);
  fleet.advance(seconds(3));
  BOOST_REQUIRE((fleet.recovery(order[1], kSlots) == RecoveryKind::Complete));
  BOOST_TEST(fleet.core(order[1]).get(kSlots, kRecoveringRow).has_value());
}

BOOST_AUTO_TEST_CASE(restarted_replica_counts_again_after_a_transfer) {
  Fleet fleet;
  const auto order = fleet.order(kSlots);
  fleet.writeAcknowledged(order[0], kSlots, "key", "value");
  fleet.kill(order[1]);
  fleet.start(order[1]);
  fleet.advance(seconds(1));
  fleet.killAndMarkDead(order[0]);
  fleet.kill(order[2]);
  fleet.start(order[2]);
  fleet.advance(seconds(3));
  // One of the two replicas is intact: not a majority, but the row is found.
  BOOST_TEST((fleet.recovery(order[1], kSlots) == RecoveryKind::MemoryLost));
  BOOST_TEST((fleet.core(order[1]).get(kSlots, "key") == Value("value")));
}

BOOST_AUTO_TEST_CASE(restart_of_all_stores_keeps_batches_and_reports_lost_slot_memory) {
  Fleet fleet;
  const auto slotOrder = fleet.order(kSlots);
  const auto batchOrder = fleet.order(kBatches);
  fleet.writeAcknowledged(slotOrder[0], kSlots, "slot", "token");
  fleet.writeAcknowledged(batchOrder[0], kBatches, "batch", "accepted");
  for (const std::string& name : fleet.names()) {
    fleet.kill(name);
  }
  for (const std::string& name : slotOrder) {
    fleet.start(name);
  }
  fleet.advance(seconds(3));
  BOOST_TEST((fleet.recovery(slotOrder[0], kSlots) == RecoveryKind::MemoryLost));
  BOOST_TEST((fleet.recovery(batchOrder[0], kBatches) == RecoveryKind::Complete));
  BOOST_TEST((fleet.core(batchOrder[0]).get(kBatches, "batch") == Value("accepted")));
}

namespace {

/// A durable row reaches only the owner, which restarts, confirms its ownership and serves the row
/// to a reader; then the owner is lost. Returns what the reader found.
Value readUnacknowledgedRow(Fleet& fleet) {
  const auto order = fleet.order(kBatches);
  fleet.blockLink(order[0], order[1]);
  fleet.blockLink(order[0], order[2]);
  fleet.write(order[0], kBatches, "key", "value");
  fleet.harness.settle();
  fleet.kill(order[0]);
  fleet.blockedLinks.clear();
  // Only the messages of the write-back are dropped.
  fleet.messageFilter = [](const Harness::Envelope& envelope) {
    return envelope.message.kind != InstallRequest::kKind;
  };
  fleet.start(order[0]);
  fleet.advance(seconds(1));
  Value found;
  if (fleet.core(order[0]).owns(kBatches)) {
    const Outcome confirmed = fleet.confirm(order[0], kBatches);
    fleet.harness.settle();
    BOOST_REQUIRE(confirmed.succeeded());
    found = fleet.core(order[0]).get(kBatches, "key");
  }
  fleet.killAndMarkDead(order[0]);
  fleet.messageFilter = [](const Harness::Envelope&) { return true; };
  fleet.advance(seconds(2));
  BOOST_REQUIRE(fleet.core(order[1]).owns(kBatches));
  BOOST_TEST(!fleet.core(order[1]).get(kBatches, "key"));
  return found;
}

}  // namespace

BOOST_AUTO_TEST_CASE(merged_row_is_readable_only_after_the_write_back) {
  Fleet fleet;
  BOOST_TEST(!readUnacknowledgedRow(fleet));
}

BOOST_AUTO_TEST_CASE(without_the_write_back_a_row_that_was_read_is_lost) {
  PartitionSafeguards safeguards;
  safeguards.mergeWriteBack = false;
  Fleet fleet(safeguards);
  BOOST_TEST((readUnacknowledgedRow(fleet) == Value("value")));
}

BOOST_AUTO_TEST_CASE(equal_replicas_transfer_nothing_and_large_ones_move_in_pages) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  std::vector<TableEntry> entries;
  for (int i = 0; i < 3000; ++i) {
    entries.push_back({"item" + std::to_string(i), std::string(1000, 'x')});
  }
  Outcome outcome;
  fleet.core(order[0]).write(kBatches, entries, outcome.callback());
  fleet.advance(milliseconds(100));
  BOOST_REQUIRE(outcome.succeeded());
  fleet.killAndMarkDead(order[0]);
  fleet.advance(seconds(1));
  BOOST_REQUIRE(fleet.core(order[1]).owns(kBatches));
  BOOST_TEST(fleet.harness.counters.values["partition_takeover_rows_total"] == 0);
  BOOST_TEST(fleet.harness.counters.values["partition_transfer_rows_total"] == 0);

  std::size_t largest = 0;
  fleet.messageFilter = [&largest](const Harness::Envelope& envelope) {
    largest = std::max(largest, envelope.message.payload.size());
    return true;
  };
  fleet.harness.records[order[0]].rows.clear();
  fleet.storeIds[order[0]] = "other-disk";
  fleet.start(order[0]);
  fleet.advance(seconds(2));
  BOOST_TEST(fleet.core(order[0]).repairProgress().complete());
  BOOST_TEST(fleet.harness.counters.values["partition_transfer_rows_total"] == 3000);
  BOOST_TEST(largest < 2 * PartitionTable::kMaxPageBytes);
}

// Two stores that are partitioned together from the majority of the acceptors may still be a
// majority of the stores; the configuration that they use may have been replaced meanwhile.
BOOST_AUTO_TEST_CASE(store_without_a_proof_of_its_configuration_gives_up_ownership) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  for (const std::string& name : fleet.names()) {
    fleet.stopFreshnessRenewal(name, seconds(4));
  }
  fleet.advance(seconds(9));
  BOOST_TEST(fleet.core(order[0]).owns(kBatches));
  fleet.advance(seconds(2));
  BOOST_TEST(!fleet.core(order[0]).owns(kBatches));
  BOOST_TEST(fleet.owners(kBatches).empty());
}

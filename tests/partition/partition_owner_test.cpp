// Writes, lossy networks, tombstones, repair and replacement of stores.
#include "partition/partition_owner.h"

#include "partition_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_CASE(writes_complete_in_order_and_atomically) {
  Fleet fleet;
  const std::string owner = fleet.order(kSlots)[0];
  std::vector<int> completed;
  for (int i = 0; i < 10; ++i) {
    fleet.core(owner).write(kSlots, {{"a", std::to_string(i)}, {"b", std::to_string(i)}},
                            [&completed, i](Status status) {
                              BOOST_TEST(status.has_value());
                              completed.push_back(i);
                            });
    BOOST_TEST((fleet.core(owner).get(kSlots, "a") == Value(std::to_string(i))));
  }
  fleet.advance(milliseconds(50));
  BOOST_TEST(completed == (std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(durable_write_waits_a_bounded_time_for_all_live_replicas) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  fleet.blockLink(order[0], order[2]);
  const Outcome durable = fleet.write(order[0], kBatches, "key", "value");
  const Outcome slot = fleet.write(fleet.order(kSlots)[0], kSlots, "key", "value");
  fleet.advance(PartitionOwner::kAllReplicasTimeout - milliseconds(50));
  BOOST_TEST(durable.pending());
  BOOST_TEST(slot.succeeded());
  fleet.advance(milliseconds(100));
  BOOST_TEST(durable.succeeded());
  fleet.markDead(order[2]);
  const Outcome degraded = fleet.write(order[0], kBatches, "key", "other");
  fleet.harness.settle();
  BOOST_TEST(degraded.succeeded());
}

BOOST_AUTO_TEST_CASE(durable_write_is_acknowledged_only_after_the_sync) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  fleet.blockLink(order[0], order[2]);
  fleet.blockLink(order[0], order[1], false);
  const Outcome write = fleet.write(order[0], kBatches, "key", "value");
  fleet.advance(seconds(1));
  BOOST_TEST(write.pending());
  fleet.blockedLinks.clear();
  fleet.advance(seconds(1));
  BOOST_TEST(write.succeeded());
}

namespace {

/// Drops, duplicates and reorders messages at random.
void makeLossy(Fleet& fleet, RandomEngine& random) {
  const auto requeued = std::make_shared<int>(0);
  fleet.messageFilter = [&fleet, &random, requeued](const Harness::Envelope& envelope) {
    auto& queue = fleet.harness.queue;
    const auto percent = random() % 100;
    if (percent < 8) {
      return false;
    }
    if (percent < 25 && *requeued < 50) {
      ++*requeued;
      queue.insert(queue.begin() + static_cast<long>(random() % (queue.size() + 1)), envelope);
      return percent < 15;
    }
    *requeued = 0;
    return true;
  };
}

/// One write, and its outcome as its writer knows it.
struct RecordedWrite {
  std::string writer;
  std::string value;
  Outcome outcome;
  bool writerCrashed = false;  ///< The writer's process ended before the outcome was known.
};

/// The writes of each key, oldest first.
using History = std::map<std::pair<PartitionId, std::string>, std::vector<RecordedWrite>>;

/// Records that @p writer ended before it knew the outcome of its pending writes.
void markWriterCrashed(History& history, const std::string& writer) {
  for (auto& entry : history) {
    for (RecordedWrite& written : entry.second) {
      written.writerCrashed =
          written.writerCrashed || (written.writer == writer && written.outcome.pending());
    }
  }
}

/// Writes and restarts at random; afterwards every acknowledged row must be present.
void runLossySeed(std::uint64_t seed) {
  RandomEngine random(seed);
  Fleet fleet;
  makeLossy(fleet, random);
  History history;
  std::string down;
  for (int step = 0; step < 120; ++step) {
    for (const PartitionId& id : {kSlots, kBatches}) {
      for (const std::string& name : fleet.owners(id)) {
        const std::string key = "key" + std::to_string(random() % 6);
        const std::string value = name + std::to_string(step);
        history[{id, key}].push_back({name, value, fleet.write(name, id, key, value)});
      }
    }
    fleet.advance(milliseconds(random() % 120));
    if (step % 40 == 20) {
      down = fleet.names()[random() % 3];
      fleet.killAndMarkDead(down);
      markWriterCrashed(history, down);
    }
    if (step % 40 == 35) {
      fleet.start(down);
    }
  }
  fleet.messageFilter = [](const Harness::Envelope&) { return true; };
  fleet.advance(seconds(12));
  for (const auto& entry : history) {
    const PartitionId& id = entry.first.first;
    const auto owners = fleet.owners(id);
    BOOST_REQUIRE(owners.size() == 1);
    const Value found = fleet.core(owners[0]).get(id, entry.first.second);
    // The last acknowledged value, or a later one whose outcome is unknown.
    bool allowed = false;
    for (auto written = entry.second.rbegin(); written != entry.second.rend(); ++written) {
      allowed = allowed || found == Value(written->value);
      if (written->outcome.succeeded()) {
        break;
      }
      BOOST_TEST((written->writerCrashed || !written->outcome.pending()));
    }
    BOOST_TEST(allowed, "seed " << seed << " key " << entry.first.second);
  }
  for (const std::string& name : fleet.names()) {
    BOOST_TEST(fleet.core(name).repairProgress().complete());
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(acknowledged_rows_survive_lossy_networks_and_restarts) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    runLossySeed(seed);
  }
}

BOOST_AUTO_TEST_CASE(second_loss_after_a_replacement_loses_nothing) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  for (int i = 0; i < 30; ++i) {
    fleet.writeAcknowledged(order[0], kBatches, "batch" + std::to_string(i), "accepted");
  }
  fleet.killAndMarkDead(order[2]);
  fleet.writeAcknowledged(order[0], kBatches, "late", "accepted");
  // The node returns with an empty disk, hence another store id, and is not counted yet.
  fleet.harness.records[order[2]].rows.clear();
  fleet.storeIds[order[2]] = "new-disk";
  fleet.start(order[2]);
  BOOST_TEST(!fleet.core(order[2]).repairProgress().complete());
  fleet.advance(seconds(2));
  BOOST_TEST(fleet.core(order[2]).repairProgress().complete());
  BOOST_TEST(fleet.core(order[2]).repairProgress().countedAsReplica == 0U);
  fleet.blockLink(order[0], order[1]);
  const Outcome alone = fleet.write(order[0], kBatches, "alone", "value");
  fleet.advance(seconds(1));
  BOOST_TEST(alone.pending());
  fleet.blockedLinks.clear();
  fleet.advance(seconds(1));
  fleet.setMembers(fleet.storeIds);
  // It holds all data, but no owner has taken over with it as a replica yet.
  BOOST_TEST(!fleet.core(order[2]).repairProgress().replacementComplete());
  fleet.advance(seconds(2));
  BOOST_TEST(fleet.core(order[2]).repairProgress().replacementComplete());
  BOOST_REQUIRE(fleet.core(order[0]).owns(kBatches));
  fleet.killAndMarkDead(order[0]);
  fleet.advance(seconds(2));
  fleet.killAndMarkDead(order[1]);
  fleet.kill(order[2]);
  fleet.start(order[2]);
  fleet.start(order[1]);
  fleet.advance(seconds(2));
  BOOST_REQUIRE(fleet.core(order[1]).owns(kBatches));
  BOOST_TEST((fleet.core(order[1]).get(kBatches, "late") == Value("accepted")));
  int rows = 0;
  fleet.core(order[1]).forEach(kBatches, "batch", [&rows](std::string_view, const std::string&) {
    ++rows;
    return true;
  });
  BOOST_TEST(rows == 30);
}

/// On a busy link a large page takes longer than a small message. A retransmission before it
/// arrives would only add load, and delay the repair of a new disk.
BOOST_AUTO_TEST_CASE(a_large_page_in_flight_is_not_sent_again_at_once) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  fleet.writeAcknowledged(order[0], kBatches, "body", std::string(250 * 1024, 'b'));
  fleet.killAndMarkDead(order[2]);
  fleet.harness.records[order[2]].rows.clear();
  fleet.storeIds[order[2]] = "new-disk";
  int large = 0;
  fleet.messageFilter = [&](const Harness::Envelope& envelope) {
    const bool isLarge = envelope.message.service == ServiceId::Partition &&
                         envelope.to.address == order[2] &&
                         envelope.message.payload.size() > 200U * 1024;
    large += isLarge ? 1 : 0;
    return !isLarge;  // Treated as still in flight.
  };
  fleet.start(order[2]);
  for (int step = 0; step < 100 && large == 0; ++step) {
    fleet.advance(milliseconds(10));
  }
  BOOST_TEST(large == 1);
  fleet.advance(milliseconds(500));
  BOOST_TEST(large == 1);
  fleet.advance(milliseconds(500));  // Past the time-out: retransmitted.
  BOOST_TEST(large == 2);
  fleet.messageFilter = [](const Harness::Envelope&) { return true; };
  fleet.advance(seconds(2));
  BOOST_TEST(fleet.core(order[2]).repairProgress().complete());
}

BOOST_AUTO_TEST_CASE(change_of_members_needs_the_old_majority_too) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  // Acknowledged by the owner and the third store only.
  fleet.blockLink(order[0], order[1]);
  fleet.writeAcknowledged(order[0], kBatches, "key", "value");
  fleet.killAndMarkDead(order[0]);
  fleet.kill(order[2]);
  fleet.storeIds["d:1"] = "disk-d:1";
  fleet.start("d:1");
  std::map<std::string, std::string> members = fleet.storeIds;
  members.erase(order[0]);
  fleet.setMembers(members);
  fleet.advance(seconds(8));
  // The second and the new store are a majority of the new members, but do not hold the row.
  BOOST_TEST(fleet.owners(kBatches).empty());
  fleet.start(order[2]);
  fleet.advance(seconds(3));
  const auto owners = fleet.owners(kBatches);
  BOOST_REQUIRE(owners.size() == 1);
  BOOST_TEST((fleet.core(owners[0]).get(kBatches, "key") == Value("value")));
}

BOOST_AUTO_TEST_CASE(erased_row_is_not_resurrected_by_an_older_replica) {
  for (const PartitionId& id : {kSlots, kBatches}) {
    Fleet fleet;
    const auto order = fleet.order(id);
    fleet.writeAcknowledged(order[0], id, "key", "value");
    fleet.blockLink(order[0], order[1]);
    fleet.writeAcknowledged(order[0], id, "key", std::nullopt);
    fleet.killAndMarkDead(order[0]);
    fleet.advance(seconds(1));
    BOOST_REQUIRE(fleet.core(order[1]).owns(id));
    BOOST_TEST(!fleet.core(order[1]).get(id, "key"));
  }
}

BOOST_AUTO_TEST_CASE(tombstones_are_collected_only_when_all_members_have_them) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  const std::string record = partitionRecordPrefix(kBatches) + "row/key";
  fleet.writeAcknowledged(order[0], kBatches, "key", "value");
  fleet.blockLink(order[0], order[2]);
  fleet.writeAcknowledged(order[0], kBatches, "key", std::nullopt);
  fleet.advance(seconds(1));
  BOOST_TEST(fleet.harness.records[order[0]].rows.count(record) == 1);
  fleet.blockedLinks.clear();
  fleet.advance(seconds(2));
  for (const std::string& name : order) {
    BOOST_TEST(fleet.harness.records[name].rows.count(record) == 0);
  }
}

BOOST_AUTO_TEST_CASE(damaged_rows_are_repaired_from_the_other_replicas) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  const std::string record = partitionRecordPrefix(kBatches) + "row/key";
  fleet.writeAcknowledged(order[0], kBatches, "key", "value");
  const std::string good = fleet.harness.records[order[2]].rows[record];
  // A replica detects the damage when it loads, the owner when it reads.
  fleet.kill(order[2]);
  fleet.harness.records[order[2]].rows[record][5] ^= 1;
  fleet.start(order[2]);
  fleet.advance(seconds(1));
  BOOST_TEST((fleet.harness.records[order[2]].rows[record] == good));
  fleet.harness.records[order[0]].rows[record][5] ^= 1;
  BOOST_TEST(!fleet.core(order[0]).get(kBatches, "key"));
  BOOST_TEST(!fleet.core(order[0]).owns(kBatches));
  fleet.advance(seconds(1));
  BOOST_REQUIRE(fleet.core(order[0]).owns(kBatches));
  BOOST_TEST((fleet.core(order[0]).get(kBatches, "key") == Value("value")));
}

BOOST_AUTO_TEST_CASE(scrub_finds_a_row_that_changed_unnoticed) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  const std::string record = partitionRecordPrefix(kBatches) + "row/key";
  fleet.writeAcknowledged(order[0], kBatches, "key", "first");
  const std::string old = fleet.harness.records[order[2]].rows[record];
  fleet.writeAcknowledged(order[0], kBatches, "key", "second");
  const std::string good = fleet.harness.records[order[2]].rows[record];
  // The third store restarts with an old but valid record on its disk.
  fleet.kill(order[2]);
  fleet.harness.records[order[2]].rows[record] = old;
  fleet.start(order[2]);
  fleet.advance(3 * ReplicaPeer::kScrubInterval);
  BOOST_TEST((fleet.harness.records[order[2]].rows[record] == good));
  BOOST_TEST(fleet.harness.counters.values["partition_scrub_repairs_total"] == 1);
}

BOOST_AUTO_TEST_CASE(owner_takes_no_new_data_while_a_replica_has_little_disk_space) {
  Fleet fleet;
  const auto order = fleet.order(kBatches);
  BOOST_TEST(fleet.core(order[0]).canAcceptNewData(kBatches));
  fleet.harness.records[order[2]].recordSpace = {80, 100};
  fleet.advance(milliseconds(600));
  BOOST_TEST(!fleet.core(order[0]).canAcceptNewData(kBatches));
  fleet.harness.records[order[2]].recordSpace = {20, 100};
  fleet.advance(milliseconds(600));
  BOOST_TEST(fleet.core(order[0]).canAcceptNewData(kBatches));
}

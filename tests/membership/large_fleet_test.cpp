/// Tests of the directory with hundreds of nodes: formation, joins and dissemination.
#include "membership/test_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

constexpr int kFleetSize = 300;
/// Ping intervals within which a mass failure must be detected: five seconds at the platform's
/// interval.
constexpr int kPingsToDetect = 14;
/// Approximate size of the record of a node with its addresses.
constexpr std::size_t kRecordBytes = 250;

/// Counts the messages and bytes sent between nodes.
struct Traffic {
  explicit Traffic(TestFleet& fleet) {
    fleet.harness.filter = [this](const Harness::Envelope& envelope) {
      ++messages;
      bytes += envelope.message.payload.size();
      bytesFrom[envelope.from] += envelope.message.payload.size();
      receivers[envelope.from].insert(envelope.to);
      return true;
    };
  }
  std::size_t maxReceivers() const {
    std::size_t maximum = 0;
    for (const auto& from : receivers) {
      maximum = std::max(maximum, from.second.size());
    }
    return maximum;
  }

  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::map<NodeId, std::size_t> bytesFrom;
  std::map<NodeId, std::set<NodeId>> receivers;
};

void startAll(TestFleet& fleet, int nodes) {
  for (int i = 0; i < nodes; ++i) {
    fleet.start(i);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(nodes_that_start_together_know_each_other_within_three_seconds) {
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(3);
  BOOST_TEST(fleet.countAlivePairs() == kFleetSize * (kFleetSize - 1));
}

// Regression: seeds withheld their version vectors when many nodes joined at once; most of the
// fleet knew only itself for many seconds.
BOOST_AUTO_TEST_CASE(nodes_join_though_most_of_the_first_messages_are_lost) {
  TestFleet fleet;
  const Time lossEnds = fleet.harness.now + std::chrono::seconds(1);
  fleet.harness.filter = [&](const Harness::Envelope&) {
    return fleet.harness.now >= lossEnds || fleet.harness.random() % 10 == 0;
  };
  startAll(fleet, kFleetSize);
  fleet.advance(1);
  fleet.advance(5);
  BOOST_TEST(fleet.countAlivePairs() == kFleetSize * (kFleetSize - 1));
}

BOOST_AUTO_TEST_CASE(sixty_nodes_that_join_at_once_know_a_large_fleet_within_two_seconds) {
  constexpr int kJoining = 60;
  constexpr int kAll = kFleetSize + kJoining;
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(10);
  for (int i = kFleetSize; i < kAll; ++i) {
    fleet.start(i);
  }
  fleet.advance(2);
  BOOST_TEST(fleet.countAlivePairs() == kAll * (kAll - 1));
}

BOOST_AUTO_TEST_CASE(forming_costs_each_node_a_few_times_the_size_of_the_directory) {
  constexpr std::size_t kCopies = 12;
  TestFleet fleet;
  Traffic traffic(fleet);
  startAll(fleet, kFleetSize);
  fleet.advance(5);
  const std::size_t perNode = traffic.bytes / kFleetSize;
  BOOST_TEST_MESSAGE(
      "bytes per node: " << perNode << ", messages per node: " << traffic.messages / kFleetSize);
  BOOST_TEST(perNode < kCopies * kFleetSize * kRecordBytes);
  BOOST_TEST(traffic.messages / kFleetSize < 400U);
}

BOOST_AUTO_TEST_CASE(a_joining_node_knows_a_large_fleet_within_a_second) {
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(10);
  fleet.start(kFleetSize);
  fleet.advance(1);
  BOOST_TEST(fleet.countNodesSeeing(kFleetSize, NodeState::Alive) == kFleetSize);
  BOOST_TEST(fleet.countAlivePairs() == (kFleetSize + 1) * kFleetSize);
}

// Regression: each origin pushed its changes to all nodes, over a connection to each.
BOOST_AUTO_TEST_CASE(a_change_reaches_a_large_fleet_over_a_bounded_number_of_links) {
  constexpr std::size_t kMaxLinks = 40;
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(10);
  Traffic traffic(fleet);
  fleet.cores.at(TestFleet::id(4))->announceDraining(true);
  fleet.harness.advance(std::chrono::milliseconds(150));
  const int seeingDraining = fleet.countNodesSeeing(4, NodeState::Draining);
  BOOST_TEST(seeingDraining >= kFleetSize * 9 / 10);
  BOOST_TEST(traffic.maxReceivers() < kMaxLinks);
  fleet.advance(3);
  BOOST_TEST(fleet.countNodesSeeing(4, NodeState::Draining) == kFleetSize - 1);
}

// A few differing records cost a few entries, not a whole vector.
BOOST_AUTO_TEST_CASE(one_lost_change_is_repaired_at_a_cost_that_does_not_grow_with_the_fleet) {
  constexpr std::size_t kMaxBytes = 8192;
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(10);
  fleet.cores.at(TestFleet::id(4))->announceDraining(true);
  fleet.harness.queue.clear();
  Traffic traffic(fleet);
  fleet.advance(8);
  BOOST_TEST(fleet.countNodesSeeing(4, NodeState::Draining) == kFleetSize - 1);
  const std::size_t perNode = traffic.bytes / kFleetSize;
  BOOST_TEST_MESSAGE("bytes per node: " << perNode);
  BOOST_TEST(perNode < kMaxBytes);
}

// Fleet-wide faults; the nodes run only the directory.

BOOST_AUTO_TEST_CASE(a_large_fleet_whose_processes_all_restart_forms_again) {
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(5);
  for (int i = 0; i < kFleetSize; ++i) {
    fleet.kill(i);
  }
  fleet.advance(1);
  startAll(fleet, kFleetSize);
  fleet.advance(4);
  BOOST_TEST(fleet.countAlivePairs() == kFleetSize * (kFleetSize - 1));
}

BOOST_AUTO_TEST_CASE(the_failure_of_a_zone_is_known_to_all_others_within_fourteen_pings) {
  constexpr int kZones = 3;
  constexpr int kRemaining = kFleetSize * (kZones - 1) / kZones;
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(5);
  for (int i = 0; i < kFleetSize; i += kZones) {
    fleet.kill(i);
  }
  fleet.advance(kPingsToDetect);
  for (int i = 0; i < kFleetSize; i += kZones) {
    BOOST_TEST(fleet.countNodesSeeing(i, NodeState::Dead) == kRemaining);
  }
  BOOST_TEST(fleet.countAlivePairs() == kRemaining * (kRemaining - 1));
}

BOOST_AUTO_TEST_CASE(after_a_rolling_restart_of_a_large_fleet_no_node_is_dead) {
  constexpr int kAtOnce = 15;
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(5);
  for (int first = 0; first < kFleetSize; first += kAtOnce) {
    for (int i = first; i < first + kAtOnce; ++i) {
      fleet.cores.at(TestFleet::id(i))->announceDraining(true);
    }
    fleet.advance(1);
    for (int i = first; i < first + kAtOnce; ++i) {
      fleet.kill(i);
    }
    for (int i = first; i < first + kAtOnce; ++i) {
      fleet.start(i);
    }
    fleet.advance(1);
  }
  fleet.advance(5);
  BOOST_TEST(fleet.countAlivePairs() == kFleetSize * (kFleetSize - 1));
}

BOOST_AUTO_TEST_CASE(two_partitioned_halves_of_a_large_fleet_rejoin) {
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(5);
  for (int i = 0; i < kFleetSize; i += 2) {
    fleet.otherPartition.insert(TestFleet::id(i));
  }
  fleet.advance(8);
  fleet.otherPartition.clear();
  fleet.advance(20);
  BOOST_TEST(fleet.countAlivePairs() == kFleetSize * (kFleetSize - 1));
}

BOOST_AUTO_TEST_CASE(nodes_that_drain_at_short_notice_are_seen_draining_and_then_dead) {
  constexpr int kDeparting = 60;
  TestFleet fleet;
  startAll(fleet, kFleetSize);
  fleet.advance(5);
  for (int i = 0; i < kDeparting; ++i) {
    fleet.cores.at(TestFleet::id(i))->announceDraining(true);
  }
  fleet.advance(2);
  for (int i = 0; i < kDeparting; ++i) {
    BOOST_TEST(fleet.countNodesSeeing(i, NodeState::Draining) == kFleetSize - 1);
  }
  for (int i = 0; i < kDeparting; ++i) {
    fleet.kill(i);
  }
  fleet.advance(kPingsToDetect);
  for (int i = 0; i < kDeparting; ++i) {
    BOOST_TEST(fleet.countNodesSeeing(i, NodeState::Dead) == kFleetSize - kDeparting);
  }
}

BOOST_AUTO_TEST_CASE(mutation_without_forwarding_a_change_reaches_few) {
  DirectoryOptions options;
  options.forwardFanout = 0;
  TestFleet fleet(options);
  startAll(fleet, kFleetSize);
  fleet.advance(15);
  fleet.cores.at(TestFleet::id(4))->announceDraining(true);
  fleet.harness.advance(std::chrono::milliseconds(150));
  BOOST_TEST(fleet.countNodesSeeing(4, NodeState::Draining) < kFleetSize / 2);
}

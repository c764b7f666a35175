#include "kernel/rendezvous.h"
#include "membership/peer_monitor.h"
#include "membership/test_fleet.h"

using namespace shedshed;
using namespace shedshed::test;

namespace {

constexpr int kData = 11;
constexpr int kStores = 6;
constexpr int kNodes = kData + kStores;
constexpr int kVictim = 7;

std::vector<int> monitorsOf(TestFleet& fleet, int target) {
  std::vector<int> monitors;
  for (int i = 0; i < kNodes; ++i) {
    const auto monitored = monitoredNodes(fleet.id(i), *fleet.cores.at(fleet.id(i))->table(), 3);
    if (std::count(monitored.begin(), monitored.end(), fleet.id(target)) != 0) {
      monitors.push_back(i);
    }
  }
  return monitors;
}

void blockPings(TestFleet& fleet, int monitor, int target) {
  fleet.blockedLinks.insert({fleet.id(monitor), fleet.id(target)});
  fleet.blockedLinks.insert({fleet.id(target), fleet.id(monitor)});
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_fleet_forms_through_three_seeds) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  BOOST_TEST(fleet.countAlivePairs() == kNodes * (kNodes - 1));
  const auto table = fleet.cores.at(fleet.id(16))->table();
  BOOST_TEST(table->live(NodeRole::Data).size() == 11U);
  BOOST_TEST(table->live(NodeRole::Store).size() == 6U);
  BOOST_TEST(table->find(fleet.id(4))->zone == "z1");
  BOOST_TEST(monitorsOf(fleet, kVictim).size() == 3U);
}

BOOST_AUTO_TEST_CASE(a_killed_node_is_confirmed_dead_by_all_within_four_seconds) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  fleet.kill(kVictim);
  fleet.advance(4);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Dead) == kNodes - 1);
  BOOST_TEST(fleet.countAlivePairs() == (kNodes - 1) * (kNodes - 2));
}

BOOST_AUTO_TEST_CASE(half_of_the_fleet_killed_at_once_is_confirmed_dead) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  for (int i = 0; i < 8; ++i) {
    fleet.kill(i * 2);
  }
  fleet.advance(15);
  BOOST_TEST(fleet.countAlivePairs() == 9 * 8);
  for (int i = 0; i < 8; ++i) {
    BOOST_TEST(fleet.countNodesSeeing(i * 2, NodeState::Dead) == 9);
  }
}

BOOST_AUTO_TEST_CASE(a_node_that_one_monitor_cannot_reach_is_suspect_and_not_dead) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  const std::vector<int> monitors = monitorsOf(fleet, kVictim);
  blockPings(fleet, monitors[0], kVictim);
  fleet.advance(20);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Suspect) == kNodes - 1);
  const auto table = fleet.cores.at(fleet.id(kVictim))->table();
  BOOST_TEST(table->live(NodeRole::Data).size() == 11U);
  fleet.blockedLinks.clear();
  fleet.advance(3);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Alive) == kNodes - 1);
}

BOOST_AUTO_TEST_CASE(mutation_without_the_two_monitor_rule_one_broken_link_confirms_a_death) {
  DirectoryOptions options;
  options.safeguards.twoMonitors = false;
  TestFleet fleet(options);
  fleet.form(kData, kStores);
  blockPings(fleet, monitorsOf(fleet, kVictim)[0], kVictim);
  // The node refutes each confirmed death as it learns of it, so check each change of the table.
  bool wasDead = false;
  const int viewer = kVictim == 0 ? 1 : 0;
  fleet.cores.at(fleet.id(viewer))->addListener([&](const NodeTable& table) {
    wasDead = wasDead || table.find(fleet.id(kVictim))->state == NodeState::Dead;
  });
  fleet.advance(5);
  BOOST_TEST(wasDead);
}

BOOST_AUTO_TEST_CASE(an_isolated_node_confirms_no_death_and_is_confirmed_dead) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  fleet.otherPartition = {fleet.id(kVictim)};
  fleet.advance(30);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Dead) == kNodes - 1);
  for (int i = 0; i < kNodes; ++i) {
    BOOST_TEST((fleet.stateAt(kVictim, i) != NodeState::Dead));
  }
}

BOOST_AUTO_TEST_CASE(a_stalled_node_is_confirmed_dead_and_refutes_that_when_it_resumes) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  const std::uint64_t before = fleet.incarnationAt(0, kVictim);
  fleet.stall(kVictim);
  fleet.advance(20);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Dead) == kNodes - 1);
  fleet.resume(kVictim);
  fleet.advance(2);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Alive) == kNodes - 1);
  BOOST_TEST(fleet.incarnationAt(0, kVictim) > before);
  BOOST_TEST(fleet.countAlivePairs() == kNodes * (kNodes - 1));
}

BOOST_AUTO_TEST_CASE(two_sides_of_a_partition_confirm_each_other_dead_and_recover) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  for (int i : {0, 3, 6, 9, 12, 15}) {
    fleet.otherPartition.insert(fleet.id(i));
  }
  fleet.advance(60);
  BOOST_TEST(fleet.countNodesSeeing(0, NodeState::Dead) == 11);
  BOOST_TEST(fleet.countNodesSeeing(1, NodeState::Dead) == 6);
  BOOST_TEST(fleet.countAlivePairs() == 11 * 10 + 6 * 5);
  fleet.otherPartition.clear();
  fleet.advance(10);
  BOOST_TEST(fleet.countAlivePairs() == kNodes * (kNodes - 1));
  fleet.advance(60);
  BOOST_TEST(fleet.countAlivePairs() == kNodes * (kNodes - 1));
}

/// One node misses the withdrawal of a suspicion and so confirms a death that no other node does.
/// Neither monitors the other, so no regular ping between them carries the dead incarnation.
BOOST_AUTO_TEST_CASE(a_death_that_one_node_alone_confirmed_is_refuted) {
  TestFleet fleet;
  fleet.form(11, 6);
  constexpr int kTarget = 5;
  std::vector<int> monitors;
  std::set<NodeId> monitoredByTarget;
  for (int i = 0; i < 17; ++i) {
    const auto table = fleet.cores.at(TestFleet::id(i))->table();
    for (const NodeId& node :
         monitoredNodes(TestFleet::id(i), *table, DirectoryOptions{}.monitorsPerNode)) {
      if (node == TestFleet::id(kTarget)) {
        monitors.push_back(i);
      }
      if (i == kTarget) {
        monitoredByTarget.insert(node);
      }
    }
  }
  BOOST_REQUIRE(monitors.size() >= 2U);
  int viewer = 0;
  while (viewer == kTarget || monitoredByTarget.count(TestFleet::id(viewer)) != 0 ||
         std::count(monitors.begin(), monitors.end(), viewer) != 0) {
    ++viewer;
  }
  const auto blockLink = [&](int monitor) {
    fleet.blockedLinks.insert({TestFleet::id(monitor), TestFleet::id(kTarget)});
  };
  blockLink(monitors[0]);
  fleet.advance(5);
  BOOST_TEST((fleet.stateAt(viewer, kTarget) == NodeState::Suspect));

  // The viewer misses the first monitor's withdrawal but receives the second monitor's suspicion.
  const auto passes = fleet.harness.filter;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    const bool ping = envelope.message.kind == Ping::kKind || envelope.message.kind == Pong::kKind;
    const bool toViewer = envelope.to == TestFleet::id(viewer);
    const bool second = envelope.from == TestFleet::id(monitors[1]);
    return passes(envelope) && (ping || !toViewer || second);
  };
  fleet.blockedLinks.clear();
  fleet.advance(3);
  blockLink(monitors[1]);
  fleet.advance(5);
  BOOST_REQUIRE((fleet.stateAt(viewer, kTarget) == NodeState::Dead));
  BOOST_TEST(fleet.countNodesSeeing(kTarget, NodeState::Dead) == 1);

  fleet.harness.filter = passes;
  fleet.blockedLinks.clear();
  fleet.advance(30);
  BOOST_TEST(fleet.countNodesSeeing(kTarget, NodeState::Alive) == 16);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_rejoins_with_a_higher_incarnation) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  for (const int pause : {0, 10}) {
    const std::uint64_t before = fleet.incarnationAt(0, kVictim);
    fleet.kill(kVictim);
    fleet.advance(pause);
    fleet.start(kVictim);
    fleet.advance(3);
    BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Alive) == kNodes - 1);
    BOOST_TEST(fleet.incarnationAt(0, kVictim) > before);
  }
}

BOOST_AUTO_TEST_CASE(draining_reaches_all_at_once_and_survives_a_lost_push) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  fleet.cores.at(fleet.id(4))->announceDraining(true);
  fleet.harness.settle();
  BOOST_TEST(fleet.countNodesSeeing(4, NodeState::Draining) == kNodes - 1);
  BOOST_TEST((fleet.stateAt(4, 4) == NodeState::Draining));
  // All pushes of the next change are lost; anti-entropy repairs that.
  fleet.cores.at(fleet.id(4))->announceDraining(false);
  fleet.harness.queue.clear();
  fleet.advance(10);
  BOOST_TEST(fleet.countNodesSeeing(4, NodeState::Alive) == kNodes - 1);
}

BOOST_AUTO_TEST_CASE(a_dead_node_is_evicted_by_all_after_its_retention) {
  DirectoryOptions options;
  options.deadNodeRetention = std::chrono::seconds(60);
  TestFleet fleet(options);
  fleet.form(kData, kStores);
  fleet.kill(kVictim);
  fleet.advance(30);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Dead) == kNodes - 1);
  fleet.advance(60);
  for (const auto& core : fleet.cores) {
    BOOST_TEST(core.second->table()->find(fleet.id(kVictim)) == nullptr);
  }
  fleet.start(kVictim);
  fleet.advance(5);
  BOOST_TEST(fleet.countNodesSeeing(kVictim, NodeState::Alive) == kNodes - 1);
}

BOOST_AUTO_TEST_CASE(topics_arrive_in_order_and_survive_loss_and_repetition) {
  TestFleet fleet;
  fleet.form(kData, kStores);
  std::vector<std::string> seen;
  fleet.cores.at(fleet.id(9))
      ->subscribe("color",
                  [&](const NodeId& origin, const GossipVersion&, const std::string& bytes) {
                    BOOST_TEST(origin.address == fleet.id(2).address);
                    seen.push_back(bytes);
                  });
  DirectoryCore& publisher = *fleet.cores.at(fleet.id(2));
  publisher.publish("color", "red");
  fleet.harness.queue.insert(fleet.harness.queue.end(), fleet.harness.queue.begin(),
                             fleet.harness.queue.end());
  fleet.harness.settle();
  publisher.publish("color", "green");
  publisher.publish("other", "x");
  publisher.publish("color", "blue");
  std::reverse(fleet.harness.queue.begin(), fleet.harness.queue.end());
  fleet.harness.settle();
  const std::vector<std::string> expected = {"red", "green", "blue"};
  BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(idle_traffic_at_390_nodes_is_bounded) {
  TestFleet fleet;
  for (int i = 0; i < 390; ++i) {
    fleet.start(i);
    fleet.harness.settle();
  }
  fleet.advance(30);
  BOOST_TEST(fleet.countAlivePairs() == 390 * 389);
  std::size_t bytes = 0;
  fleet.harness.filter = [&](const Harness::Envelope& envelope) {
    bytes += envelope.message.payload.size();
    return true;
  };
  fleet.advance(10);
  const std::size_t perNodeAndSecond = bytes / 390 / 10;
  BOOST_TEST_MESSAGE("payload bytes sent per node and second: " << perNodeAndSecond);
  BOOST_TEST(perNodeAndSecond < 200U);
}

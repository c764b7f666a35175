#include "membership/gossip_peers.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>
#include <utility>

using namespace shedshed;

namespace {

NodeId id(int index) {
  return NodeId{"10.0.0." + std::to_string(100 + index) + ":7000"};
}

std::shared_ptr<const NodeTable> tableOf(int nodes, const std::set<int>& dead) {
  auto table = std::make_shared<NodeTable>();
  for (int i = 0; i < nodes; ++i) {
    NodeInfo info;
    info.id = id(i);
    info.state = dead.count(i) != 0 ? NodeState::Dead : NodeState::Alive;
    table->nodes.push_back(std::move(info));
  }
  return table;
}

}  // namespace

BOOST_AUTO_TEST_CASE(seeds_do_not_contain_the_node_itself) {
  const GossipPeers peers(id(0), {id(0), id(1), id(2)}, 4);
  const std::vector<NodeId> expected = {id(1), id(2)};
  BOOST_TEST((peers.seeds() == expected));
}

BOOST_AUTO_TEST_CASE(all_live_nodes_of_a_small_fleet_are_peers) {
  GossipPeers peers(id(0), {}, 4);
  const std::vector<NodeId> expected = {id(1), id(3)};
  BOOST_TEST((peers.live(tableOf(4, {2})) == expected));
}

BOOST_AUTO_TEST_CASE(the_peers_in_a_large_fleet_are_bounded_and_follow_the_table) {
  GossipPeers peers(id(0), {}, 4);
  const std::vector<NodeId> before = peers.live(tableOf(30, {}));
  BOOST_TEST(before.size() == 4U);
  int first = 0;
  while (id(first) != before.front()) {
    ++first;
  }
  const std::vector<NodeId> after = peers.live(tableOf(30, {first}));
  BOOST_TEST(after.size() == 4U);
  BOOST_TEST((after.front() == before[1]));
}

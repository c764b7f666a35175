// Every node computes the same checkers of an engine.
#include "engines/health_check_assignment.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace shedshed;

namespace {

NodeInfo dataNode(const std::string& address, NodeState state = NodeState::Alive) {
  NodeInfo node;
  node.id = NodeId{address};
  node.role = NodeRole::Data;
  node.state = state;
  return node;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(health_check_assignment)

BOOST_AUTO_TEST_CASE(the_nodes_have_distinct_ranks) {
  const std::vector<NodeId> nodes = {{"f1:1"}, {"f2:1"}, {"f3:1"}};
  std::set<std::size_t> ranks;
  for (const NodeId& node : nodes) {
    ranks.insert(checkerRank("e1", node, nodes, nodes.size()));
  }
  BOOST_TEST(ranks.size() == nodes.size());
}

BOOST_AUTO_TEST_CASE(the_rank_is_counted_up_to_the_limit) {
  const std::vector<NodeId> nodes = {{"f1:1"}, {"f2:1"}, {"f3:1"}};
  for (const NodeId& node : nodes) {
    BOOST_TEST(checkerRank("e1", node, nodes, 1) <= 1U);
  }
}

BOOST_AUTO_TEST_CASE(draining_and_dead_nodes_check_nothing) {
  NodeTable nodes;
  nodes.nodes = {dataNode("f1:1"), dataNode("f2:1", NodeState::Draining),
                 dataNode("f3:1", NodeState::Dead)};
  const std::vector<NodeId> eligible = eligibleCheckers(nodes);
  BOOST_REQUIRE(eligible.size() == 1U);
  BOOST_TEST(eligible[0].address == "f1:1");
}

BOOST_AUTO_TEST_CASE(draining_nodes_check_if_every_node_drains) {
  NodeTable nodes;
  nodes.nodes = {dataNode("f1:1", NodeState::Draining), dataNode("f2:1", NodeState::Dead)};
  BOOST_TEST(eligibleCheckers(nodes).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

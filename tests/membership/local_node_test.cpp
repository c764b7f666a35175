#include "membership/local_node.h"

#include "membership/incarnation.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr std::uint64_t kRunTag = 7;

LocalNode makeNode() {
  NodeInfo info;
  info.id = NodeId{"10.0.0.1:7000"};
  return LocalNode(info, kRunTag);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_local_node_starts_alive_with_the_first_incarnation_of_its_run) {
  const LocalNode node = makeNode();
  BOOST_TEST((node.info().state == NodeState::Alive));
  BOOST_TEST(node.incarnation() == composeIncarnation(1, kRunTag));
}

BOOST_AUTO_TEST_CASE(draining_is_a_change_only_once) {
  LocalNode node = makeNode();
  BOOST_TEST(node.setDraining(true));
  BOOST_TEST(!node.setDraining(true));
  BOOST_TEST((node.info().state == NodeState::Draining));
  BOOST_TEST(node.setDraining(false));
}

BOOST_AUTO_TEST_CASE(records_of_other_runs_and_later_versions_are_foreign) {
  const LocalNode node = makeNode();
  const GossipVersion published{node.incarnation(), 4};
  BOOST_TEST(!node.isForeign(published, published));
  BOOST_TEST(!node.isForeign({node.incarnation(), 3}, published));
  BOOST_TEST(node.isForeign({node.incarnation(), 5}, published));
  BOOST_TEST(node.isForeign({composeIncarnation(1, kRunTag - 1), 1}, published));
  BOOST_TEST(node.isForeign({composeIncarnation(2, kRunTag - 1), 1}, published));
}

BOOST_AUTO_TEST_CASE(a_raised_incarnation_counts_above_the_given_one_and_keeps_the_run) {
  LocalNode node = makeNode();
  node.raiseIncarnationAbove(composeIncarnation(9, kRunTag - 1));
  BOOST_TEST(node.incarnation() == composeIncarnation(10, kRunTag));
}

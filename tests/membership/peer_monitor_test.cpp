#include "membership/peer_monitor.h"

#include <boost/test/unit_test.hpp>
#include <memory>

using namespace shedshed;

namespace {

const NodeId kSelf{"10.0.0.1:7000"};
const NodeId kPeer{"10.0.0.2:7000"};

std::shared_ptr<const NodeTable> twoNodes() {
  auto table = std::make_shared<NodeTable>();
  for (const NodeId& id : {kSelf, kPeer}) {
    NodeInfo info;
    info.id = id;
    info.incarnation = 1;
    table->nodes.push_back(info);
  }
  return table;
}

struct Fixture {
  void startInterval() {
    now += options.pingInterval;
    monitor.startInterval(now, kSelf, table);
  }

  DirectoryOptions options;
  PeerMonitor monitor{options};
  std::shared_ptr<const NodeTable> table = twoNodes();
  Time now{};
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(a_peer_is_suspected_after_unacknowledged_pings_in_a_row, Fixture) {
  startInterval();
  startInterval();
  BOOST_TEST(monitor.hasUnresponsiveNode(*table));
  BOOST_TEST(!monitor.takeChangedSuspicions(*table).has_value());
  startInterval();
  const auto changed = monitor.takeChangedSuspicions(*table);
  BOOST_REQUIRE(changed.has_value());
  BOOST_REQUIRE(changed->size() == 1U);
  BOOST_TEST((changed->front() == Suspicion{kPeer, 1}));
  BOOST_TEST(!monitor.takeChangedSuspicions(*table).has_value());
}

BOOST_FIXTURE_TEST_CASE(an_acknowledgement_of_a_pending_ping_ends_the_suspicion, Fixture) {
  startInterval();
  startInterval();
  startInterval();
  BOOST_TEST(monitor.takeChangedSuspicions(*table).has_value());
  monitor.onPong(kPeer, monitor.pingNumber());
  const auto changed = monitor.takeChangedSuspicions(*table);
  BOOST_REQUIRE(changed.has_value());
  BOOST_TEST(changed->empty());
}

BOOST_FIXTURE_TEST_CASE(an_interval_in_which_this_node_stalled_does_not_count, Fixture) {
  startInterval();
  now += 10 * options.pingInterval;
  startInterval();
  BOOST_TEST(!monitor.hasUnresponsiveNode(*table));
}

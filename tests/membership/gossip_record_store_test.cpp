#include "membership/gossip_record_store.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

const NodeId kOrigin{"10.0.0.1:7000"};

struct Stores {
  std::vector<std::string> changes;
  GossipRecordStore source{
      [](const NodeId&, const GossipVersion&, const std::string&, const std::string&) {}};
  GossipRecordStore replica{
      [this](const NodeId&, const GossipVersion&, const std::string& topic,
             const std::string& bytes) { changes.push_back(topic + "=" + bytes); }};
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_delta_that_leaves_a_gap_is_rejected) {
  Stores stores;
  stores.source.raiseIncarnation(kOrigin, 5);
  stores.source.publish(kOrigin, "a", "1");
  const GossipDelta first = stores.source.deltaSince(kOrigin, {});
  stores.source.publish(kOrigin, "b", "2");
  const GossipDelta second = stores.source.deltaSince(kOrigin, {5, 1});
  BOOST_TEST((stores.replica.apply(second) == GossipRecordStore::Outcome::Gap));
  BOOST_TEST(stores.changes.empty());
  BOOST_TEST((stores.replica.apply(first) == GossipRecordStore::Outcome::Applied));
  BOOST_TEST((stores.replica.apply(second) == GossipRecordStore::Outcome::Applied));
  BOOST_TEST((stores.replica.apply(first) == GossipRecordStore::Outcome::Stale));
  BOOST_TEST((stores.replica.version(kOrigin) == GossipVersion{5, 2}));
}

BOOST_AUTO_TEST_CASE(a_new_run_withdraws_what_it_does_not_publish) {
  Stores stores;
  stores.source.raiseIncarnation(kOrigin, 5);
  stores.source.publish(kOrigin, "a", "1");
  stores.source.publish(kOrigin, "b", "2");
  stores.replica.apply(stores.source.deltaSince(kOrigin, {}));
  GossipRecordStore restarted(
      [](const NodeId&, const GossipVersion&, const std::string&, const std::string&) {});
  restarted.raiseIncarnation(kOrigin, 6);
  restarted.publish(kOrigin, "a", "3");
  const GossipDelta old = stores.source.deltaSince(kOrigin, {});
  BOOST_TEST((stores.replica.apply(restarted.deltaSince(kOrigin, {5, 2})) ==
              GossipRecordStore::Outcome::Applied));
  BOOST_TEST((stores.replica.apply(old) == GossipRecordStore::Outcome::Stale));
  const std::vector<std::string> expected = {"a=1", "b=2", "b=", "a=3"};
  BOOST_TEST(stores.changes == expected, boost::test_tools::per_element());
}

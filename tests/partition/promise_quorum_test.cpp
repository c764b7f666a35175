// Majorities of promises over the present and the previous replicas.
#include "partition/promise_quorum.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

MemberList::Member member(const std::string& name) {
  return {NodeId{name}, "disk-" + name};
}

const StoreMembers kPresent = {member("a"), member("b"), member("c")};

PromiseAnswer answer(bool intact, std::uint64_t replicaSetEpoch = 0, StoreMembers replicas = {}) {
  PromiseAnswer answer;
  answer.granted = true;
  answer.intact = intact;
  answer.replicaSetEpoch = replicaSetEpoch;
  answer.replicas = std::move(replicas);
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(promise_quorum)

BOOST_AUTO_TEST_CASE(majority_of_the_present_replicas_is_enough_without_earlier_ones) {
  PromiseQuorum promises(kPresent);
  promises.add(NodeId{"a"}, "disk-a", answer(true));
  BOOST_TEST(!promises.majoritiesPromised());
  promises.add(NodeId{"b"}, "disk-b", answer(false));
  BOOST_TEST(promises.majoritiesPromised());
  BOOST_TEST(!promises.majoritiesIntact());
  promises.add(NodeId{"c"}, "disk-c", answer(true));
  BOOST_TEST(promises.majoritiesIntact());
  BOOST_TEST(promises.allPromised());
}

BOOST_AUTO_TEST_CASE(promise_of_another_disk_does_not_count) {
  PromiseQuorum promises(kPresent);
  promises.add(NodeId{"a"}, "disk-a", answer(true));
  promises.add(NodeId{"b"}, "new-disk", answer(true));
  BOOST_TEST(!promises.majoritiesPromised());
  BOOST_TEST(promises.missing().size() == 2U);
}

BOOST_AUTO_TEST_CASE(majority_of_the_newest_earlier_replicas_is_needed_too) {
  PromiseQuorum promises(kPresent);
  const StoreMembers oldest = {member("a"), member("b"), member("x")};
  const StoreMembers newest = {member("a"), member("y"), member("z")};
  promises.add(NodeId{"a"}, "disk-a", answer(true, 4, newest));
  promises.add(NodeId{"b"}, "disk-b", answer(true, 3, oldest));
  BOOST_TEST(promises.previous().size() == newest.size());
  BOOST_TEST(promises.previous()[1].id.address == "y");
  BOOST_TEST(!promises.majoritiesPromised());
  const std::vector<NodeId> missing = {NodeId{"c"}, NodeId{"y"}, NodeId{"z"}};
  BOOST_TEST((promises.missing() == missing));
  promises.add(NodeId{"z"}, "disk-z", answer(true));
  BOOST_TEST(promises.majoritiesPromised());
}

BOOST_AUTO_TEST_SUITE_END()

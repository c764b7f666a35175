#include "register/quorum.h"

#include "register/accept_set.h"
#include "register/promise_set.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

const std::vector<MemberList::Member> kVoters = {
    {NodeId{"a1"}, "disk-1"}, {NodeId{"a2"}, "disk-2"}, {NodeId{"a3"}, "disk-3"}};

PrepareReply promiseOf(const Ballot& accepted) {
  PrepareReply promise;
  promise.accepted.ballot = accepted;
  return promise;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(quorum)

BOOST_AUTO_TEST_CASE(a_vote_needs_the_listed_disk_unless_the_safeguard_is_off) {
  RegisterSafeguards safeguards;
  BOOST_TEST(isVoteOfAny(safeguards, kVoters, NodeId{"a2"}, "disk-2"));
  BOOST_TEST(!isVoteOfAny(safeguards, kVoters, NodeId{"a2"}, "disk-2+"));
  BOOST_TEST(!isVoteOfAny(safeguards, kVoters, NodeId{"a4"}, "disk-2"));
  safeguards.storeIdCheck = false;
  BOOST_TEST(isVoteOfAny(safeguards, kVoters, NodeId{"a2"}, "disk-2+"));
}

BOOST_AUTO_TEST_CASE(two_accepts_of_three_voters_are_a_majority) {
  AcceptSet accepts;
  accepts.add(NodeId{"a1"}, "disk-1");
  accepts.add(NodeId{"a2"}, "another disk");
  accepts.add(NodeId{"a4"}, "disk-4");
  BOOST_TEST(!accepts.isMajorityOf(kVoters, {}));
  accepts.add(NodeId{"a3"}, "disk-3");
  BOOST_TEST(accepts.isMajorityOf(kVoters, {}));
}

BOOST_AUTO_TEST_CASE(the_newest_state_has_the_highest_ballot) {
  PromiseSet promises;
  promises.add(NodeId{"a1"}, promiseOf({1, 9}));
  promises.add(NodeId{"a2"}, promiseOf({2, 3}));
  promises.add(NodeId{"a3"}, promiseOf({2, 3}));
  const PromiseSet::Newest newest = promises.newest();
  BOOST_TEST(newest.acceptor.address == "a2");
  BOOST_TEST((newest.promise.accepted.ballot == Ballot{2, 3}));
  BOOST_TEST(newest.agreeing == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

#include "register/proposed_change.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

ChangeRequest requestOn(std::uint64_t baseVersion, const std::string& value) {
  return {kSettingsRegister, baseVersion, "key", value, {}};
}

/// A promise of an acceptor whose committed state has @p version and whose log lacks "key".
PrepareReply promiseAt(std::uint64_t version) {
  PrepareReply promise;
  promise.accepted.version = version;
  return promise;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(proposed_change)

BOOST_AUTO_TEST_CASE(a_change_of_the_committed_version_is_proposable) {
  const ProposedChange change(requestOn(4, "value"));
  BOOST_TEST((change.evaluate(promiseAt(4)) == ProposedChange::Verdict::Proposable));
  BOOST_TEST((change.evaluate(promiseAt(5)) == ProposedChange::Verdict::Conflict));
  BOOST_TEST((change.evaluate(promiseAt(3)) == ProposedChange::Verdict::Conflict));
}

BOOST_AUTO_TEST_CASE(an_applied_key_is_recognised_by_its_content) {
  const ProposedChange change(requestOn(4, "value"));
  PrepareReply promise = promiseAt(9);
  promise.appliedVersion = 5;
  promise.appliedContentHash = change.nextState({}, {}).entry.contentHash;
  BOOST_TEST((change.evaluate(promise) == ProposedChange::Verdict::Applied));
  const ProposedChange other(requestOn(4, "other"));
  BOOST_TEST((other.evaluate(promise) == ProposedChange::Verdict::KeyReused));
}

BOOST_AUTO_TEST_CASE(the_outcome_of_a_change_older_than_the_log_is_unknown) {
  const ProposedChange change(requestOn(4, "value"));
  PrepareReply promise = promiseAt(100);
  promise.firstLoggedVersion = 6;
  BOOST_TEST((change.evaluate(promise) == ProposedChange::Verdict::Unknown));
  promise.firstLoggedVersion = 5;
  BOOST_TEST((change.evaluate(promise) == ProposedChange::Verdict::Conflict));
}

BOOST_AUTO_TEST_CASE(the_next_state_continues_the_chain_of_its_base) {
  const ProposedChange first(requestOn(0, "one"));
  const AcceptedState one = first.nextState({}, Ballot{1, 7});
  BOOST_TEST(one.version == 1U);
  BOOST_TEST((one.baseChain == Digest{}));
  const ProposedChange second(requestOn(1, "two"));
  const AcceptedState two = second.nextState(one, Ballot{2, 7});
  BOOST_TEST(two.version == 2U);
  BOOST_TEST(two.value == "two");
  BOOST_TEST((two.ballot == Ballot{2, 7}));
  BOOST_TEST((two.baseChain == nextChain(one.baseChain, one.entry)));
}

BOOST_AUTO_TEST_SUITE_END()

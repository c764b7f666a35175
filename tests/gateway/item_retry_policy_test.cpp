// What follows each kind of attempt to run a batch item.
#include "gateway/item_retry_policy.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

using Decision = ItemRetryPolicy::Decision;

UpstreamAttempt answered(int status) {
  UpstreamAttempt attempt;
  attempt.outcome = AttemptOutcome::Answered;
  attempt.head.status = status;
  return attempt;
}

UpstreamAttempt streamed() {
  UpstreamAttempt attempt;
  attempt.outcome = AttemptOutcome::Streamed;
  return attempt;
}

UpstreamAttempt failed() {
  return failedAttempt(makeError(ErrorCode::EngineFailed));
}

UpstreamAttempt rejected() {
  return rejectedAttempt(makeError(ErrorCode::NoEngine));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(item_retry_policy)

BOOST_AUTO_TEST_CASE(success_completes_the_item_and_a_422_fails_it) {
  ItemRetryPolicy policy(3, 0);
  BOOST_TEST((policy.onAttempt(streamed()) == Decision::Complete));
  BOOST_TEST((policy.onAttempt(answered(200)) == Decision::Complete));
  BOOST_TEST((policy.onAttempt(answered(422)) == Decision::Fail));
}

BOOST_AUTO_TEST_CASE(an_item_fails_after_as_many_500_as_it_has_attempts) {
  ItemRetryPolicy policy(3, 0);
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Fail));
}

BOOST_AUTO_TEST_CASE(answers_of_500_in_earlier_calls_count) {
  ItemRetryPolicy policy(3, 2);
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Fail));
}

// Regression: any answer without success counted as one of the attempts.
BOOST_AUTO_TEST_CASE(item_listed_as_failed_after_answers_that_are_no_failed_attempt) {
  for (const int status : {302, 400, 404, 413, 429, 501, 502, 503, 504}) {
    ItemRetryPolicy policy(1, 0);
    BOOST_TEST((policy.onAttempt(answered(status)) == Decision::Retry), status);
    BOOST_TEST((policy.execution() == Ran::Unknown), status);
    BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Fail), status);
  }
}

BOOST_AUTO_TEST_CASE(attempts_that_decide_nothing_end_the_call_but_not_the_item) {
  ItemRetryPolicy broken(3, 0);
  int retries = 0;
  while (broken.onAttempt(failed()) == Decision::Retry) {
    ++retries;
  }
  BOOST_TEST(retries > 3);
  BOOST_TEST((broken.execution() == Ran::Unknown));
  ItemRetryPolicy refused(3, 0);
  while (refused.onAttempt(rejected()) == Decision::Retry) {
  }
  BOOST_TEST((refused.execution() == Ran::No));
}

BOOST_AUTO_TEST_SUITE_END()

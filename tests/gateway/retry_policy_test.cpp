// Retry decisions after each kind of attempt.
#include "gateway/retry_policy.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

using Decision = RetryPolicy::Decision;

OpaqueCall callWith(bool idempotent, bool resumable, std::uint32_t maxAttempts) {
  OpaqueCall call;
  call.idempotent = idempotent;
  call.resumable = resumable;
  call.maxAttempts = maxAttempts;
  return call;
}

UpstreamAttempt answered(int status) {
  UpstreamAttempt attempt;
  attempt.outcome = AttemptOutcome::Answered;
  attempt.head.status = status;
  return attempt;
}

UpstreamAttempt failed(bool responseStarted = false) {
  UpstreamAttempt attempt = failedAttempt(makeError(ErrorCode::EngineFailed));
  attempt.responseStarted = responseStarted;
  return attempt;
}

UpstreamAttempt rejected() {
  return rejectedAttempt(makeError(ErrorCode::NoEngine));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(retry_policy)

BOOST_AUTO_TEST_CASE(rejections_are_retried_for_any_call_up_to_a_bound) {
  RetryPolicy policy(callWith(false, false, 1));
  BOOST_TEST((policy.onAttempt(rejected()) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(rejected()) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(rejected()) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(rejected()) == Decision::Finish));
  BOOST_TEST((policy.execution() == Ran::No));
}

BOOST_AUTO_TEST_CASE(a_rejection_without_another_engine_is_final) {
  RetryPolicy policy(callWith(true, false, 3));
  UpstreamAttempt attempt = rejected();
  attempt.noEngineLeft = true;
  BOOST_TEST((policy.onAttempt(attempt) == Decision::Finish));
}

BOOST_AUTO_TEST_CASE(a_failure_is_retried_only_if_the_call_may_be_repeated) {
  RetryPolicy once(callWith(false, false, 3));
  BOOST_TEST((once.onAttempt(failed()) == Decision::Finish));
  BOOST_TEST((once.execution() == Ran::Unknown));
  RetryPolicy idempotent(callWith(true, false, 2));
  BOOST_TEST((idempotent.onAttempt(failed()) == Decision::Retry));
  BOOST_TEST((idempotent.onAttempt(failed()) == Decision::Finish));
}

BOOST_AUTO_TEST_CASE(a_stream_that_has_started_continues_only_if_it_is_resumable) {
  RetryPolicy idempotent(callWith(true, false, 3));
  BOOST_TEST((idempotent.onAttempt(failed(true)) == Decision::Finish));
  RetryPolicy resumable(callWith(false, true, 3));
  BOOST_TEST((resumable.onAttempt(failed(true)) == Decision::Retry));
  BOOST_TEST((resumable.onAttempt(answered(500)) == Decision::Finish));
  BOOST_TEST(resumable.responseStarted());
}

BOOST_AUTO_TEST_CASE(only_server_errors_are_retried) {
  RetryPolicy policy(callWith(true, false, 3));
  BOOST_TEST((policy.onAttempt(answered(404)) == Decision::Finish));
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Retry));
  BOOST_TEST((policy.onAttempt(answered(500)) == Decision::Finish));
}

BOOST_AUTO_TEST_SUITE_END()

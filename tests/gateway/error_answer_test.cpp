#include "gateway/gateway_call.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

struct Expected {
  ErrorCode code;
  Ran ran;
  int status;
  bool hasRetryAfter;
};

/// Statuses that imply "not run" (408, 421, 429, 503) are used only for calls that did not run.
const Expected kTable[] = {
    {ErrorCode::InvalidArgument, Ran::No, 400, false},
    {ErrorCode::Unauthenticated, Ran::No, 401, false},
    {ErrorCode::NotFound, Ran::No, 404, false},
    {ErrorCode::TooLarge, Ran::No, 413, false},
    {ErrorCode::PoolFull, Ran::No, 429, true},
    {ErrorCode::NotReady, Ran::No, 503, true},
    {ErrorCode::NoEngine, Ran::No, 503, true},
    {ErrorCode::StoreUnavailable, Ran::No, 503, true},
    {ErrorCode::StorageFull, Ran::No, 503, true},
    {ErrorCode::DeadlineExceeded, Ran::No, 503, true},
    {ErrorCode::EngineFailed, Ran::No, 503, true},
    {ErrorCode::NoEngine, Ran::Unknown, 502, false},
    {ErrorCode::EngineFailed, Ran::Unknown, 502, false},
    {ErrorCode::ResponseMismatch, Ran::Unknown, 502, false},
    {ErrorCode::ResponseTruncated, Ran::Unknown, 502, false},
    {ErrorCode::OutcomeUnknown, Ran::Unknown, 502, false},
    {ErrorCode::DeadlineExceeded, Ran::Unknown, 504, false},
};

}  // namespace

BOOST_AUTO_TEST_CASE(each_error_has_its_status_and_message) {
  for (const Expected& expected : kTable) {
    const GatewayAnswer answer =
        gatewayErrorAnswer(makeError(expected.code, "detail", expected.ran), "r1");
    BOOST_TEST_CONTEXT(errorTypeName(expected.code) << ", ran " << ranName(expected.ran)) {
      BOOST_TEST(answer.status == expected.status);
      BOOST_TEST(answer.retryAfter.has_value() == expected.hasRetryAfter);
      BOOST_TEST(answer.body.find("\"r1\"") != std::string::npos);
      BOOST_TEST(answer.body.find("\"message\"") != std::string::npos);
    }
  }
}

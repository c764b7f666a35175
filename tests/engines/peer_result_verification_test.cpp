// When the engines are rechecked, and when the table is fresh again.
#include "engines/peer_result_verification.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace std::chrono_literals;

namespace {

constexpr Time kNow = Time(100s);

struct VerificationFixture {
  EngineHealthCheckerOptions options;
  PeerResultVerification verification{options};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_result_verification)

BOOST_FIXTURE_TEST_CASE(a_verification_starts_once_and_is_extended, VerificationFixture) {
  BOOST_TEST(!verification.active(kNow));
  BOOST_TEST(verification.start(kNow));
  BOOST_TEST(!verification.start(kNow + 1s));
  BOOST_TEST(verification.active(kNow + options.verificationTime));
  BOOST_TEST(!verification.active(kNow + 1s + options.verificationTime));
}

BOOST_FIXTURE_TEST_CASE(the_table_stays_fresh_while_the_process_ticks, VerificationFixture) {
  BOOST_TEST(!verification.detectStall(kNow));
  verification.extendFreshness(kNow);
  BOOST_TEST((verification.freshUntil() == kNow + options.stallTimeout()));
}

BOOST_FIXTURE_TEST_CASE(after_a_stall_the_engines_are_rechecked_before_the_table_is_fresh,
                        VerificationFixture) {
  verification.detectStall(kNow);
  verification.extendFreshness(kNow);
  const Time resumed = kNow + 2 * options.stallTimeout();
  BOOST_TEST(verification.detectStall(resumed));
  BOOST_TEST(verification.start(resumed));
  verification.extendFreshness(resumed);
  BOOST_TEST((verification.freshUntil() < resumed));
  verification.extendFreshness(resumed + options.recheckTime);
  BOOST_TEST((verification.freshUntil() > resumed + options.recheckTime));
}

BOOST_AUTO_TEST_SUITE_END()

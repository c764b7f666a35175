// Released tokens are remembered for a bounded time.
#include "slots/released_tokens.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_SUITE(released_tokens)

BOOST_AUTO_TEST_CASE(a_released_token_is_remembered_until_a_delayed_copy_cannot_arrive) {
  ReleasedTokens released;
  const OwnerToken token{1, 2};
  const Time releasedAt = Time(std::chrono::seconds(100));
  released.add(token, releasedAt);
  released.evictExpired(releasedAt + kReleasedTokenRetention - std::chrono::milliseconds(1));
  BOOST_TEST(released.contains(token));
  released.evictExpired(releasedAt + kReleasedTokenRetention);
  BOOST_TEST(!released.contains(token));
}

BOOST_AUTO_TEST_CASE(a_second_release_extends_the_memory) {
  ReleasedTokens released;
  const OwnerToken token{1, 2};
  released.add(token, Time(std::chrono::seconds(100)));
  released.add(token, Time(std::chrono::seconds(110)));
  released.evictExpired(Time(std::chrono::seconds(100)) + kReleasedTokenRetention);
  BOOST_TEST(released.contains(token));
}

BOOST_AUTO_TEST_SUITE_END()

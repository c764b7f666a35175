// How batch items end: which answers of engines count.
#include "item_runner_fixture.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_SUITE(item_runner)

BOOST_AUTO_TEST_CASE(each_attempt_is_reported_with_its_engine_connection_and_status) {
  ItemRunnerFixture fixture;
  fixture.engine.script = {{500}, {500, "", false, true}, {200}};
  BOOST_REQUIRE(fixture.run().has_value());
  BOOST_REQUIRE(fixture.attempts.size() == 3U);
  BOOST_TEST(fixture.attempts[0].requestId == kItem);
  BOOST_TEST(fixture.attempts[0].engine == "e0");
  BOOST_TEST(fixture.attempts[0].connection != 0U);
  BOOST_TEST(fixture.attempts[0].exchange == 1U);
  BOOST_TEST(fixture.attempts[0].status == 500);
  BOOST_TEST(fixture.attempts[1].status == 0);
  BOOST_TEST(fixture.attempts[1].error == "no_engine");
  BOOST_TEST(fixture.attempts[2].status == 200);
}

BOOST_AUTO_TEST_CASE(an_item_fails_after_as_many_500_as_its_route_allows_and_after_one_422) {
  ItemRunnerFixture fixture;
  fixture.engine.script = {{500}, {500}, {500}, {422}};
  BOOST_TEST(fixture.run().value().status == 500);
  BOOST_TEST(fixture.engine.received.size() == 3U);
  BOOST_TEST(fixture.run().value().status == 422);
}

BOOST_AUTO_TEST_SUITE_END()

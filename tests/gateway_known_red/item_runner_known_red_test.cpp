// Regression: an engine that answers a request twice, the second time late.
#include "gateway/item_runner_fixture.h"

using namespace shedshed;
using namespace shedshed::test;

BOOST_AUTO_TEST_SUITE(item_runner)

BOOST_AUTO_TEST_CASE(item_listed_as_failed_after_a_500_that_was_answered_twice) {
  ItemRunnerFixture fixture;
  fixture.publishRoute("r", 2);
  fixture.engine.script = {{500, "", false, false, true}, {200}};
  const auto answer = fixture.run();
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(answer.value().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

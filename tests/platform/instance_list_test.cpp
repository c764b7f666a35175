#include "platform/instance_list.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_SUITE(instance_list)

BOOST_AUTO_TEST_CASE(a_page_is_read) {
  const auto page = platform::parseInstancePage(
      R"({"instances":[{"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":24,)"
      R"("state":"ready","cold_left_ms":0,"id":"i-1"},{"service":"s","address":"10.0.0.8:80",)"
      R"("zone":"z","slots":24,"state":"draining","id":"i-2"}],"next_token":"p-50"})");
  BOOST_REQUIRE(page);
  BOOST_TEST(page.value().next == "p-50");
  BOOST_REQUIRE_EQUAL(page.value().engines.size(), 2U);
  BOOST_TEST((page.value().engines[0].state == EngineState::Ready));
  BOOST_TEST(page.value().engines[0].maxRunning == 24U);
  BOOST_TEST((page.value().engines[1].state == EngineState::Draining));
}

BOOST_AUTO_TEST_CASE(malformed_pages_are_refused_whole) {
  for (const char* text : {"", "{", "{}", R"({"instances":[{}]})", R"({"instances":{}})"}) {
    BOOST_TEST(!platform::parseInstancePage(text), text);
  }
  BOOST_TEST(platform::parseInstancePage(R"({"instances":[],"next_token":null})").value().next ==
             "");
}

BOOST_AUTO_TEST_SUITE_END()

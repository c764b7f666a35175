#include "gateway/opaque_call.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_SUITE(opaque_call)

BOOST_AUTO_TEST_CASE(prompt_hints_are_read_in_order) {
  const PromptHints hints = parsePromptHints("5c1e:800,91bd:410,e440:250", "1460,80");
  BOOST_REQUIRE_EQUAL(hints.parts.size(), 3U);
  BOOST_TEST(hints.parts[0].id == "5c1e");
  BOOST_TEST(hints.parts[0].tokens == 800U);
  BOOST_TEST(hints.parts[2].tokens == 250U);
  BOOST_TEST(hints.promptTokens == 1460U);
  BOOST_TEST(hints.maxOutputTokens == 80U);
}

BOOST_AUTO_TEST_CASE(malformed_numbers_count_as_zero) {
  BOOST_TEST(parsePromptHints("", "").parts.empty());
  const PromptHints hints = parsePromptHints("a:x,b", "many");
  BOOST_REQUIRE_EQUAL(hints.parts.size(), 2U);
  BOOST_TEST(hints.parts[0].tokens == 0U);
  BOOST_TEST(hints.promptTokens == 0U);
}

BOOST_AUTO_TEST_CASE(connection_headers_are_known_in_any_case) {
  for (const char* name : {"Connection", "KEEP-ALIVE", "transfer-encoding", "Content-Length"}) {
    BOOST_TEST(isConnectionHeader(name), name);
  }
  BOOST_TEST(!isConnectionHeader("Content-Type"));
}

BOOST_AUTO_TEST_SUITE_END()

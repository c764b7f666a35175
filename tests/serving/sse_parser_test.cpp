#include "serving/sse_parser.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_SUITE(sse_parser)

BOOST_AUTO_TEST_CASE(events_do_not_depend_on_the_chunk_size) {
  const std::string bytes = ": note\r\nid: 7\r\ndata: {\"a\":1}\r\n\r\nevent: x\ndata:one\ndata: "
                            "two\n\n\n\ndata: [DONE]\n\n";
  const std::vector<std::string> expected{"{\"a\":1}", "one\ntwo", "[DONE]"};
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    SseParser parser;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < bytes.size(); at += step) {
      BOOST_REQUIRE(parser.feed(std::string_view(bytes).substr(at, step), events));
    }
    BOOST_TEST(events == expected, boost::test_tools::per_element());
    BOOST_TEST(!parser.hasPartialEvent());
  }
}

BOOST_AUTO_TEST_CASE(an_unfinished_event_is_not_an_event) {
  SseParser parser;
  std::vector<std::string> events;
  BOOST_REQUIRE(parser.feed("data: [DONE]\n", events));
  BOOST_TEST(events.empty());
  BOOST_TEST(parser.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(lines_and_events_are_bounded) {
  std::vector<std::string> events;
  SseParser line(10);
  BOOST_TEST((line.feed("data: 12345", events).error().code == ErrorCode::TooLarge));
  SseParser joined(15);
  const std::string dataLine = "data: 123\n";
  BOOST_REQUIRE(joined.feed(dataLine, events));
  BOOST_REQUIRE(joined.feed(dataLine, events));
  BOOST_TEST((joined.feed(dataLine, events).error().code == ErrorCode::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

#include "gateway/event_splitter.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

const std::string kStream =
    "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\nid: 3\ndata: x\n\n";

}  // namespace

BOOST_AUTO_TEST_SUITE(event_splitter)

BOOST_AUTO_TEST_CASE(complete_events_pass_unchanged_for_any_chunk_size) {
  for (std::size_t chunkSize = 1; chunkSize <= kStream.size(); ++chunkSize) {
    EventSplitter splitter;
    std::string passed;
    for (std::size_t at = 0; at < kStream.size(); at += chunkSize) {
      passed += splitter.add(std::string_view(kStream).substr(at, chunkSize));
    }
    BOOST_TEST(passed == kStream);
    BOOST_TEST(splitter.lastId() == "3");
    BOOST_TEST(!splitter.hasPartialEvent());
  }
}

BOOST_AUTO_TEST_CASE(a_partial_event_is_buffered) {
  EventSplitter splitter;
  BOOST_TEST(std::string(splitter.add("id: 1\ndata: a\n\nid: 2\nda")) == "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.lastId() == "1");
  BOOST_TEST(splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(the_text_is_the_data_of_all_events) {
  EventDataCollector text;
  text.add("id: 1\nweights: 3\ndata: one\n\n");
  text.add("id: 2\r\ndata:two\r\n\r\n");
  BOOST_TEST(text.take() == "one\ntwo");
}

BOOST_AUTO_TEST_SUITE_END()

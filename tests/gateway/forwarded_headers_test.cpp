/// Tests of the header fields that reach engines, from requests and from batch items.
#include "gateway/forwarded_headers.h"

#include "gateway/http_syntax.h"
#include "gateway/item_request.h"

#include <boost/test/unit_test.hpp>

namespace shedshed::test {
namespace {

const HeaderNames kNames;

BatchItemCall itemWith(std::vector<HeaderField> headers) {
  BatchItemCall item;
  item.name = "item-1";
  item.target = "/b/1";
  item.headers = std::move(headers);
  return item;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(forwarded_headers)

BOOST_AUTO_TEST_CASE(fields_that_the_gateway_sets_are_not_forwarded_in_any_case_of_letters) {
  for (const char* name :
       {"Authorization", "AUTHORIZATION", "Host", "expect", "X-Tenant", "x-tenant", "X-Request-Id",
        "X-Engine", "X-Deadline-Ms", "last-event-id", "Connection", "Transfer-Encoding",
        "Content-Length", "Upgrade", "TE", "Proxy-Authorization"}) {
    ForwardedHeaders headers;
    BOOST_TEST(headers.add(name, "value", kNames).has_value(), name);
    BOOST_TEST((headers.begin() == headers.end()), name);
  }
}

BOOST_AUTO_TEST_CASE(other_fields_are_forwarded_unchanged_and_in_their_order) {
  ForwardedHeaders headers;
  BOOST_TEST(headers.add("X-Prompt-Parts", "ab:12, cd:1", kNames).has_value());
  BOOST_TEST(headers.add("accept", "\t*/*;q=\xc3\xa4", kNames).has_value());
  BOOST_TEST(headers.begin()->name == "X-Prompt-Parts");
  BOOST_TEST(headers.value("x-prompt-parts") == "ab:12, cd:1");
  BOOST_TEST(headers.value("Accept") == "\t*/*;q=\xc3\xa4");
  BOOST_TEST(headers.value("X-Other").empty());
}

BOOST_AUTO_TEST_CASE(texts_that_would_end_a_line_are_rejected) {
  for (const std::string& value : std::initializer_list<std::string>{
           "a\r\nb", "a\nb", "a\rb", std::string("a\0b", 3), "\x7f"}) {
    BOOST_TEST(!isFieldValue(value));
  }
  for (const char* name : {"", "a b", "a:", "a\r\n", "\xc3\xa4", "a(b)"}) {
    BOOST_TEST(!isFieldName(name), name);
  }
  for (const char* target : {"", "b/1", "/a b", "/a\r\nX: y", "/a\tb", "*", "http://h/a"}) {
    BOOST_TEST(!isOriginFormTarget(target), target);
  }
  BOOST_TEST(isOriginFormTarget("/a?b=%20&c"));
}

BOOST_AUTO_TEST_CASE(the_key_of_the_client_is_not_stored_with_its_items) {
  BatchItemCall item = itemWith({{"Authorization", "Bearer secret"}, {"X-A", "1"}});
  BOOST_TEST(normalizeItem(item, kNames).has_value());
  BOOST_REQUIRE(item.headers.size() == 1U);
  BOOST_TEST(item.headers.front().name == "X-A");
}

BOOST_AUTO_TEST_CASE(an_item_that_can_not_be_part_of_a_request_is_rejected_with_its_id) {
  BatchItemCall item = itemWith({{"X-A", "1\r\nX-Tenant: mallory"}});
  const Status normalized = normalizeItem(item, kNames);
  BOOST_REQUIRE(normalized.has_error());
  BOOST_TEST((normalized.error().code == ErrorCode::InvalidArgument));
  BOOST_TEST(normalized.error().detail.find("item-1") != std::string::npos);
  for (const char* name : {"", " a", "a\t", "a\nb"}) {
    BatchItemCall named = itemWith({});
    named.name = name;
    BOOST_TEST(!normalizeItem(named, kNames).has_value(), name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace shedshed::test

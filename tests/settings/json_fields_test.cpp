#include "settings/json_fields.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

using namespace shedshed;

namespace {

JsonDocument parsed(const std::string& text) {
  Result<JsonDocument> document = JsonDocument::parse(text);
  BOOST_REQUIRE(document.has_value());
  return std::move(document.value());
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_absent_member_leaves_the_value) {
  const JsonDocument document = parsed("{}");
  double number = 3;
  bool flag = true;
  BOOST_TEST(readNumber(document.root(), "n", "", 0, 1, number).has_value());
  BOOST_TEST(readBool(document.root(), "b", "", flag).has_value());
  BOOST_TEST(number == 3);
  BOOST_TEST(flag);
}

BOOST_AUTO_TEST_CASE(members_are_converted) {
  const JsonDocument document = parsed(R"({"count": 7, "wait_ms": 1.5, "public": true})");
  std::uint32_t count = 0;
  Duration wait{0};
  bool isPublic = false;
  BOOST_TEST(readCount(document.root(), "count", "", count).has_value());
  BOOST_TEST(
      readDuration(document.root(), "wait_ms", "", std::chrono::milliseconds(1), wait).has_value());
  BOOST_TEST(readBool(document.root(), "public", "", isPublic).has_value());
  BOOST_TEST(count == 7U);
  BOOST_TEST((wait == std::chrono::microseconds(1500)));
  BOOST_TEST(isPublic);
}

BOOST_AUTO_TEST_CASE(a_rejected_member_is_named_with_its_path) {
  const JsonDocument document = parsed(R"({"tokens": 1.5, "n": "x", "b": 1})");
  std::uint64_t tokens = 4;
  double number = 0;
  bool flag = false;
  const Status fraction = readTokens(document.root(), "tokens", "/routes/a", tokens);
  BOOST_REQUIRE(fraction.has_error());
  BOOST_TEST(fraction.error().detail.find("/routes/a/tokens: found 1.5") == 0U);
  BOOST_TEST(tokens == 4U);
  BOOST_TEST(readNumber(document.root(), "n", "", 0, 1, number).has_error());
  BOOST_TEST(readBool(document.root(), "b", "", flag).has_error());
}

BOOST_AUTO_TEST_CASE(the_first_of_several_failures_is_returned) {
  const Status status = firstFailure({okStatus(), makeError(ErrorCode::InvalidArgument, "first"),
                                      makeError(ErrorCode::TooLarge, "second")});
  BOOST_REQUIRE(status.has_error());
  BOOST_TEST(status.error().detail == "first");
}

#include "platform/batch_api.h"

#include "gateway/item_request.h"
#include "platform/header_names.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

const platform::BatchApi kApi;

BatchCall callOf(const char* method, const char* target) {
  const auto call = kApi.parseCall(method, target);
  BOOST_REQUIRE(call);
  BOOST_REQUIRE(call.value().has_value());
  return *call.value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(batch_api)

BOOST_AUTO_TEST_CASE(calls_are_told_apart_by_method_and_path) {
  const BatchCall results = callOf("GET", "/v1/lots/7c41?after_rev=12");
  BOOST_TEST((results.kind == BatchCall::Kind::Results));
  BOOST_TEST(results.clientKey == "7c41");
  BOOST_TEST(results.from == 12U);
  const BatchCall body = callOf("GET", "/v1/items/7c41?id=e5b2");
  BOOST_TEST((body.kind == BatchCall::Kind::ItemBody));
  BOOST_TEST(body.itemName == "e5b2");
  BOOST_TEST((callOf("DELETE", "/v1/lots/7c41").kind == BatchCall::Kind::Cancel));
  BOOST_TEST(!kApi.parseCall("POST", "/pule/7c41").value().has_value());
  BOOST_TEST(!kApi.parseCall("GET", "/v1/lots/7c41?after_rev=x"));
}

BOOST_AUTO_TEST_CASE(items_are_decoded) {
  const auto items = kApi.parseItems(
      R"({"items":[{"id":"e5","path":"/p/3","headers":{"X-A":"1","Connection":"close"},)"
      R"("body":"q83vEjRWeJA=","tokens":940}]})");
  BOOST_REQUIRE(items);
  BOOST_REQUIRE_EQUAL(items.value().size(), 1U);
  const BatchItemCall& item = items.value().front();
  BOOST_TEST(item.name == "e5");
  BOOST_TEST(item.body == "\xab\xcd\xef\x12\x34\x56\x78\x90");
  BOOST_REQUIRE_EQUAL(item.headers.size(), 2U);
  BOOST_TEST(item.headers[0].value == "1");
  BatchItemCall normalized = item;
  BOOST_TEST(normalizeItem(normalized, platform::headerNames()).has_value());
  BOOST_REQUIRE_EQUAL(normalized.headers.size(), 1U);
  BOOST_TEST(normalized.headers[0].value == "1");
  BOOST_TEST(item.tokens == 940U);
}

BOOST_AUTO_TEST_CASE(malformed_batches_are_refused) {
  for (const char* body :
       {"", "{", "{}", R"({"items":[]})", R"({"items":{}})", R"({"items":[{"id":"a"}]})",
        R"({"items":[{"id":"a","path":"/p","body":"*"}]})"}) {
    BOOST_TEST(!kApi.parseItems(body), body);
  }
}

BOOST_AUTO_TEST_CASE(results_stand_at_their_positions) {
  ResultPage page;
  page.itemCount = 3;
  page.results.push_back({1, ItemState::Done, "a\nb", "", "i1"});
  page.results.push_back({2, ItemState::Failed, "", "engine_failed", "i2"});
  BOOST_TEST(
      kApi.formatResults(page, 1, 1000) ==
      R"({"total":3,"next_token":3,"results":[{"id":"i1","state":"completed","text":"a\nb"},)"
      R"({"id":"i2","state":"dead_letter","text":""}]})");
  BOOST_TEST(kApi.formatResults(page, 1, 1).find("\"next_token\":2") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

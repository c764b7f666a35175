#include "settings/item_change.h"
#include "settings/settings.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

std::string settingsWith(const std::string& routes, const std::string& tenants = "{}") {
  return R"({"version":3,"routes":{)" + routes +
         R"(},"services":{"s1":{"max_conns":9,"engine":{"slots":4}},"s2":{}},"tenants":)" +
         tenants + "}";
}

std::string route(const std::string& name, const std::string& prefix,
                  const std::string& rest = R"("service":"s1")",
                  const std::string& timeout = "3000") {
  return "\"" + name + R"(":{"host":"h","path_prefix":")" + prefix +
         R"(","kind":"streaming","timeout_ms":)" + timeout + "," + rest + "}";
}

bool isValid(const std::string& json) {
  return static_cast<bool>(SettingsTree::parse(json));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins) {
  const auto tree =
      SettingsTree::parse(settingsWith(route("a", "/x/") + "," + route("b", "/x/y/")));
  BOOST_REQUIRE(tree);
  const RouteTable& routes = tree.value().routes();
  BOOST_TEST(routes.match("h", "/x/1")->name == "a");
  BOOST_TEST(routes.match("h", "/x/y/1")->name == "b");
  BOOST_TEST(routes.match("h", "/z/1") == nullptr);
  BOOST_TEST(routes.match("other", "/x/1") == nullptr);
  BOOST_TEST(tree.value().namedVersion() == 3U);
  BOOST_TEST(routes.service("s1")->slots == 4U);
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_rejected_completely) {
  BOOST_TEST(isValid(settingsWith(route("a", "/x/"))));
  BOOST_TEST(!isValid(settingsWith(route("a", "/x/")).substr(0, 60)), "truncated");
  BOOST_TEST(!isValid(settingsWith(route("a", "/x/", R"("service":"none")"))), "unknown service");
  BOOST_TEST(!isValid(settingsWith(route("a", "/x/") + "," + route("b", "/x/"))),
             "duplicate prefix");
  BOOST_TEST(!isValid(settingsWith(route("a", "/x/", R"("traffic_split":[])"))), "no service");
  BOOST_TEST(
      !isValid(settingsWith(route("a", "/x/", R"("traffic_split":[{"service":"s1","weight":0}])"))),
      "no weight");
  BOOST_TEST(!isValid(settingsWith(route("a", "/x/", R"("service":"s1")", "0"))), "no time-out");
  BOOST_TEST(!isValid(settingsWith(route("a", "x"))), "no prefix");
  BOOST_TEST(!isValid(settingsWith(route("a", "/x/"),
                                   R"({"t":{"api_keys":["k"]},"u":{"api_keys":["k"]}})")),
             "shared key");
}

BOOST_AUTO_TEST_CASE(tenants_have_keys_quotas_and_priorities) {
  const auto tree = SettingsTree::parse(settingsWith(
      route("a", "/x/"),
      R"({"t":{"api_keys":["k1","k2"],"per_s":7,"burst":3,"priority":1},"u":{"api_keys":[]}})"));
  BOOST_REQUIRE(tree);
  BOOST_TEST(tree.value().tenantOfKey("k2").value() == "t");
  BOOST_TEST(!tree.value().tenantOfKey("k3"));
  BOOST_TEST(tree.value().hasQuota("t"));
  BOOST_TEST(!tree.value().hasQuota("u"));
  BOOST_TEST(tree.value().priorityOf("t").value() == 1U);
}

BOOST_AUTO_TEST_CASE(rejected_items_are_requeued_before_their_batch_is_due) {
  const auto tree = SettingsTree::parse(
      settingsWith(route("a", "/x/", R"("service":"s1","run_target_ms":8000)")));
  BOOST_REQUIRE(tree);
  const Duration delay = tree.value().effective("t", "").requeueDelay;
  BOOST_TEST(toMilliseconds(delay) > 50);
  BOOST_TEST(toMilliseconds(delay) < 1000);
}

/// Without the cap on the TTL, the batch items of a killed data node kept their slots, and the
/// engine capacity lent to them, for the default of 70 s.
BOOST_AUTO_TEST_CASE(slots_of_a_failed_holder_expire_before_a_batch_is_due) {
  const auto tree = SettingsTree::parse(
      settingsWith(route("a", "/x/", R"("service":"s1","run_target_ms":8000)")));
  BOOST_REQUIRE(tree);
  const EffectiveSettings settings = tree.value().effective("t", "");
  BOOST_TEST((settings.itemSlotTtl == std::chrono::seconds(6)));
  BOOST_TEST((settings.liveSlotTtl == std::chrono::seconds(6)));
  const auto plain = SettingsTree::parse("{}");
  BOOST_TEST((plain.value().effective("t", "").itemSlotTtl == std::chrono::seconds(70)));
}

BOOST_AUTO_TEST_CASE(items_are_added_replaced_and_removed_by_name) {
  const std::string base = settingsWith(route("a", "/x/") + "," + route("b", "/y/"));
  const auto changed =
      applyItemChange(base, R"({"version":5,"upsert":{"routes":{)" + route("b", "/z/") + "," +
                                route("c", "/w/") + R"(}},"remove":{"routes":["a","unknown"]}})");
  BOOST_REQUIRE(changed);
  const auto tree = SettingsTree::parse(changed.value());
  BOOST_REQUIRE(tree);
  BOOST_TEST(tree.value().namedVersion() == 5U);
  BOOST_TEST(tree.value().routes().find("a") == nullptr);
  BOOST_TEST(tree.value().routes().find("b")->pathPrefix == "/z/");
  BOOST_TEST(tree.value().routes().find("c") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_malformed_change_is_rejected) {
  const std::string base = settingsWith(route("a", "/x/"));
  for (const char* change :
       {"{", "{}", R"({"version":5,"upsert":[]})", R"({"version":5,"upsert":{"routes":[]}})",
        R"({"version":5,"remove":{"routes":{}}})", R"({"version":5,"remove":{"routes":[1]}})"}) {
    BOOST_TEST(!applyItemChange(base, change), change);
  }
}

BOOST_AUTO_TEST_SUITE_END()

#include "operators/settings_versions.h"

#include "register/register_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

std::string settings(int version, const std::string& name = "a") {
  return R"({"version":)" + std::to_string(version) + R"(,"services":{"s":{}},"routes":{")" + name +
         R"(":{"host":"h","path_prefix":"/x/","kind":"safe","timeout_ms":100,"service":"s"}}})";
}

struct VersionFleet {
  VersionFleet() { BOOST_REQUIRE(fleet.form()); }
  Result<SettingsUpdateOutcome> submit(const std::string& via, SettingsUpdate update) {
    SettingsVersions versions(fleet.registers(via));
    std::optional<Result<SettingsUpdateOutcome>> result;
    versions.submit(std::move(update), [&](auto outcome) { result = std::move(outcome); });
    return fleet.await(result);
  }
  Result<SettingsUpdateOutcome> replace(const std::string& via, std::uint64_t base,
                                        const std::string& body) {
    return submit(via, {SettingsUpdate::Kind::Replace, base, body});
  }
  std::string read(const std::string& via) {
    SettingsVersions versions(fleet.registers(via));
    std::optional<Result<std::string>> result;
    versions.read([&](auto text) { result = std::move(text); });
    return fleet.await(result).value();
  }
  RegisterFleet fleet{3, 1};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(settings_versions)

BOOST_FIXTURE_TEST_CASE(updates_build_on_the_named_version, VersionFleet) {
  BOOST_TEST(read("a1").empty());
  BOOST_REQUIRE(replace("a1", 0, settings(5)));
  BOOST_TEST(read("a2") == settings(5));
  BOOST_REQUIRE(replace("a2", 5, settings(9)));
  BOOST_TEST(read("a3") == settings(9));
  const auto stale = replace("a3", 5, settings(10));
  BOOST_TEST((stale.error().code == ErrorCode::VersionConflict));
}

BOOST_FIXTURE_TEST_CASE(a_resend_is_acknowledged_at_any_node_and_after_later_changes,
                        VersionFleet) {
  BOOST_REQUIRE(replace("a1", 0, settings(5)));
  BOOST_TEST(replace("a2", 0, settings(5)).value().repeated);
  BOOST_REQUIRE(replace("a1", 5, settings(9)));
  BOOST_REQUIRE(replace("a1", 9, settings(12)));
  BOOST_TEST(replace("a3", 5, settings(9)).value().repeated);
  BOOST_TEST(read("a1") == settings(12));
}

BOOST_FIXTURE_TEST_CASE(of_two_updates_on_one_version_one_wins, VersionFleet) {
  BOOST_REQUIRE(replace("a1", 0, settings(5)));
  for (std::uint64_t base = 5; base < 25; ++base) {
    SettingsVersions first(fleet.registers("a1"));
    SettingsVersions second(fleet.registers("a2"));
    std::optional<Result<SettingsUpdateOutcome>> one;
    std::optional<Result<SettingsUpdateOutcome>> two;
    const int next = static_cast<int>(base) + 1;
    first.submit({SettingsUpdate::Kind::Replace, base, settings(next, "one")},
                 [&](auto outcome) { one = std::move(outcome); });
    second.submit({SettingsUpdate::Kind::Replace, base, settings(next, "two")},
                  [&](auto outcome) { two = std::move(outcome); });
    fleet.await(one);
    fleet.await(two);
    BOOST_TEST((one->has_value() != two->has_value()));
    BOOST_TEST(read("a3") == settings(next, *one ? "one" : "two"));
  }
}

BOOST_FIXTURE_TEST_CASE(invalid_updates_change_nothing, VersionFleet) {
  BOOST_REQUIRE(replace("a1", 0, settings(5)));
  for (const std::string& body : {std::string("{"), settings(5), settings(4), settings(9) + "x"}) {
    const auto outcome = replace("a2", 5, body);
    BOOST_TEST((outcome.error().code == ErrorCode::InvalidArgument), body);
  }
  const SettingsUpdate items{SettingsUpdate::Kind::ChangeItems, 5,
                             R"({"version":7,"remove":{"services":["s"]}})"};
  BOOST_TEST((submit("a2", items).error().code == ErrorCode::InvalidArgument));
  BOOST_TEST(read("a1") == settings(5));
}

BOOST_AUTO_TEST_SUITE_END()

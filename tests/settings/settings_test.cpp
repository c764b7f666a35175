// The settings tree: errors, inheritance, keys.
#include "settings/settings.h"

#include "settings/json.h"
#include "settings/setting_field.h"
#include "settings/small_file.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

SettingsTree parsed(const std::string& json) {
  Result<SettingsTree> tree = SettingsTree::parse(json);
  BOOST_REQUIRE(tree.has_value());
  return tree.value();
}

std::string keyJson(const std::string& bearerKey, bool withdrawn) {
  return R"({"digest": ")" + SettingsTree::digestOfKey(bearerKey) + R"(", "withdrawn": )" +
         (withdrawn ? "true" : "false") + "}";
}

struct RejectedCase {
  const char* json;
  std::vector<const char*> detailParts;  ///< Path, value and what is allowed.
};

const std::vector<RejectedCase> kRejected = {
    {R"({"fleet": {"per_s": -1}})", {"/fleet/per_s", "-1", "from 0 to 100000"}},
    {R"({"fleet": {"per_s": "5"}})", {"/fleet/per_s", "\"5\"", "a number"}},
    {R"({"fleet": {"burst": 1.5}})", {"/fleet/burst", "1.5", "a whole number"}},
    {R"({"fleet": {"burst": null}})", {"/fleet/burst", "null", "a whole number"}},
    {R"({"fleet": {"fail_mode": "ajar"}})",
     {"/fleet/fail_mode", "\"ajar\"", "\"open\" or \"closed\""}},
    {R"({"fleet": {"fail_mode": 1}})", {"/fleet/fail_mode", "1", "\"open\" or \"closed\""}},
    {R"({"fleet": {"refusal_status": 500}})", {"/fleet/refusal_status", "500", "429 or 503"}},
    {R"({"fleet": {"block": 5}})", {"/fleet/block", "5", "block_ms"}},
    {R"({"fleet": {"Per_s": 5}})", {"/fleet/Per_s", "no such key"}},
    {R"({"fleet": {"keys": []}})", {"/fleet/keys", "no such key"}},
    {R"({"fleet": 7})", {"/fleet", "7", "an object"}},
    {R"({"flet": {}})", {"/flet", "fleet, tenants"}},
    {R"([])", {"/", "[]", "an object"}},
    {R"({"tenants": {"a b": {}}})", {"/tenants/a b", "letters"}},
    {R"({"tenants": {"a": {"routes": {"v1": {}}}}})", {"/tenants/a/routes/v1", "starts with '/'"}},
    {R"({"tenants": {"a": {"routes": {"/x": {"keys": []}}}}})",
     {"/tenants/a/routes//x/keys", "no such key"}},
    {R"({"tenants": {"a": {"keys": [{"digest": "AB"}]}}})",
     {"/tenants/a/keys/0/digest", "\"AB\"", "64 lower-case"}},
    {R"({"tenants": {"a": {"keys": [{}]}}})", {"/tenants/a/keys/0/digest", "nothing"}},
    {R"({"tenants": {"a": {"keys": [{"withdrawn": 1}]}}})",
     {"/tenants/a/keys/0/withdrawn", "1", "true or false"}},
    {R"({"fleet": {"burst": 1, "burst": 2}})", {"/fleet/burst", "duplicate key"}},
    {R"({"fleet": {"per_s": 1e999}})", {"/fleet/per_s", "out of range"}},
    {R"({"fleet": {}} x)", {"not valid JSON"}},
    {"{\"tenants\": {\"a\\u0000b\": {}}}", {"NUL characters"}},
};

}  // namespace

BOOST_AUTO_TEST_CASE(rejected_values_name_path_value_and_what_is_allowed) {
  for (const RejectedCase& rejected : kRejected) {
    BOOST_TEST_CONTEXT(rejected.json) {
      const Result<SettingsTree> tree = SettingsTree::parse(rejected.json);
      BOOST_REQUIRE(tree.has_error());
      BOOST_TEST((tree.error().code == ErrorCode::InvalidArgument));
      for (const char* part : rejected.detailParts) {
        BOOST_TEST(tree.error().detail.find(part) != std::string::npos,
                   tree.error().detail << " lacks " << part);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(documents_over_the_bounds_of_depth_and_size_are_rejected) {
  const std::string deep = std::string(100000, '[');
  BOOST_TEST((SettingsTree::parse(deep).error().code == ErrorCode::TooLarge));
  // The bound is 4 MiB since the routes of a fleet are part of the settings.
  const std::string fits = "{}" + std::string(3U << 20U, ' ');
  BOOST_TEST(SettingsTree::parse(fits).has_value());
  const std::string large = "{}" + std::string(4U << 20U, ' ');
  BOOST_TEST((SettingsTree::parse(large).error().code == ErrorCode::TooLarge));
  BOOST_TEST(JsonDocument::parse(R"(["[[[[[[[[[[[[[[[[[[[[\"{{"])").has_value());
}

BOOST_AUTO_TEST_CASE(route_overrides_tenant_overrides_fleet_overrides_defaults) {
  const SettingsTree tree = parsed(R"({
    "fleet": {"per_s": 5, "burst": 2, "block_ms": 250, "fail_mode": "closed"},
    "tenants": {"acme": {"per_s": 20, "routes": {"/v1/batches": {"burst": 8}}}}})");
  const EffectiveSettings route = tree.effective("acme", "/v1/batches");
  BOOST_TEST(route.burst == 8U);
  BOOST_TEST(route.perSecond == 20.0);
  BOOST_TEST((route.block == std::chrono::milliseconds(250)));
  BOOST_TEST((route.failMode == FailMode::Closed));
  BOOST_TEST((route.poll == EffectiveSettings().poll));
  BOOST_TEST(tree.effective("acme", "/other").burst == 2U);
  BOOST_TEST(tree.effective("unknown", "/v1/batches").perSecond == 5.0);
}

BOOST_AUTO_TEST_CASE(explanation_names_the_level_of_each_value) {
  const SettingsTree tree = parsed(R"({"fleet": {"burst": 2, "fail_mode": "closed"},
    "tenants": {"acme": {"per_s": 20, "routes": {"/r": {"retry_after_s": 3}}}}})");
  std::map<std::string, std::string> found;
  for (const ExplainedSetting& setting : tree.explainEffective("acme", "/r")) {
    found[setting.name] = setting.value + " " + std::string(settingLevelName(setting.level));
  }
  BOOST_TEST(found.size() == 14U);
  BOOST_TEST(found["burst"] == "2 fleet");
  BOOST_TEST(found["fail_mode"] == "\"closed\" fleet");
  BOOST_TEST(found["per_s"] == "20 tenant");
  BOOST_TEST(found["retry_after_s"] == "3 route");
  BOOST_TEST(found["poll_ms"] == "100 default");
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_belongs_to_no_tenant) {
  const SettingsTree tree = parsed(R"({"tenants": {"acme": {"keys": [)" + keyJson("one", false) +
                                   "," + keyJson("two", true) + "]}}}");
  BOOST_TEST(tree.tenantOfKey("one").value_or("") == "acme");
  BOOST_TEST(!tree.tenantOfKey("two").has_value());
  BOOST_TEST(!tree.tenantOfKey("three").has_value());
  BOOST_TEST(SettingsTree::digestOfKey("").size() == 64U);
}

// The capacity target is 2,400 active tenants, each in the middle of a key rotation.
BOOST_AUTO_TEST_CASE(a_tree_accepts_the_tenants_of_the_target_size) {
  std::string json;
  for (int i = 0; i < 2400; ++i) {
    const std::string name = "tenant-" + std::to_string(i);
    json += (i == 0 ? "" : ",") + ("\"" + name) + R"(": {"per_s": 2, "keys": [)" +
            keyJson(name + "-old", true) + "," + keyJson(name + "-new", false) + "]}";
  }
  const SettingsTree tree = parsed(R"({"tenants": {)" + json + "}}");
  BOOST_TEST(tree.tenantOfKey("tenant-2399-new").value_or("") == "tenant-2399");
}

BOOST_AUTO_TEST_CASE(a_digest_cannot_belong_to_two_tenants_even_if_withdrawn) {
  const Result<SettingsTree> tree =
      SettingsTree::parse(R"({"tenants": {"a": {"keys": [)" + keyJson("one", true) +
                          R"(]}, "b": {"keys": [)" + keyJson("one", false) + "]}}}");
  BOOST_REQUIRE(tree.has_error());
  BOOST_TEST(tree.error().detail.find("/tenants/a/keys/0") != std::string::npos);
}

// Fails if the schema file and the parser's table differ: both limits of each number must be
// accepted, and a value just outside of them rejected.
BOOST_AUTO_TEST_CASE(schema_file_states_the_parsers_keys_and_ranges) {
  const Result<std::string> text =
      readSmallFile(SHEDSHED_SOURCE_DIR "/docs/settings.schema.json", 1U << 20U);
  BOOST_REQUIRE(text.has_value());
  const Result<JsonDocument> schema = JsonDocument::parse(text.value());
  BOOST_REQUIRE(schema.has_value());
  const cJSON* definitions = jsonMember(schema.value().root(), "$defs");
  const cJSON* names = jsonMember(jsonMember(definitions, "level"), "properties");
  BOOST_TEST(static_cast<std::size_t>(cJSON_GetArraySize(names)) == SettingField::all().size());
  for (const SettingField& field : SettingField::all()) {
    BOOST_TEST_CONTEXT(field.name()) {
      BOOST_TEST(jsonMember(names, field.name().c_str()) != nullptr);
      const cJSON* definition = jsonMember(definitions, field.name().c_str());
      if (const cJSON* words = jsonMember(definition, "enum"); words != nullptr) {
        BOOST_TEST(cJSON_GetArraySize(words) == 2);
        continue;
      }
      const double minimum = jsonMember(definition, "minimum")->valuedouble;
      const double maximum = jsonMember(definition, "maximum")->valuedouble;
      BOOST_TEST(field.acceptNumber(minimum).has_value());
      BOOST_TEST(field.acceptNumber(maximum).has_value());
      BOOST_TEST(!field.acceptNumber(minimum - 0.01).has_value());
      BOOST_TEST(!field.acceptNumber(maximum + 1).has_value());
      const bool whole = std::string(jsonMember(definition, "type")->valuestring) == "integer";
      BOOST_TEST(field.acceptNumber(maximum - 0.5).has_value() != whole);
    }
  }
}

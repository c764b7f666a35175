// Settings of a process from a file and from flags.
#include "settings/process_settings.h"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

using namespace shedshed;

namespace {

/// A file in the working folder that is removed at the end of the test.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& content) { std::ofstream(kName) << content; }
  ~TemporaryFile() { std::remove(kName); }
  static constexpr const char* kName = "process_settings_test.json";
};

constexpr const char* kControl = R"({"role": "store", "zone": "a",
  "internal_address": "127.0.0.1:7000", "operators_address": "127.0.0.1:7001",
  "seeds": ["127.0.0.1:7000", "127.0.0.2:7000"], "data_folder": "data",
  "fleet_key_file": "fleet.key", "operator_key_file": "operator.key"})";

Result<ProcessSettings> parse(std::vector<const char*> flags, ProcessKind kind) {
  flags.insert(flags.begin(), "program");
  flags.push_back(nullptr);
  return parseProcessSettings(static_cast<int>(flags.size()) - 1, flags.data(), kind);
}

}  // namespace

BOOST_AUTO_TEST_CASE(flags_override_the_file) {
  const TemporaryFile file(kControl);
  const auto settings = parse({"--settings", TemporaryFile::kName, "--zone", "b", "--seeds",
                               "127.0.0.9:1,127.0.0.8:2", "--log-level=debug"},
                              ProcessKind::Control);
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST((settings.value().role == ControlRole::Store));
  BOOST_TEST(settings.value().zone == "b");
  BOOST_TEST(settings.value().internalAddress.address == "127.0.0.1:7000");
  BOOST_TEST(settings.value().seeds.size() == 2U);
  BOOST_TEST(settings.value().seeds[1].address == "127.0.0.8:2");
  BOOST_TEST((settings.value().logLevel == LogLevel::Debug));
}

BOOST_AUTO_TEST_CASE(rejected_process_settings_name_the_key_and_what_is_allowed) {
  const TemporaryFile file(kControl);
  const auto data = parse({"--settings", TemporaryFile::kName}, ProcessKind::Data);
  BOOST_REQUIRE(data.has_error());
  BOOST_TEST(data.error().detail.find("/role") != std::string::npos);
  BOOST_TEST(data.error().detail.find("no such key") != std::string::npos);
  const auto address = parse({"--settings", TemporaryFile::kName, "--internal-address", "host:1"},
                             ProcessKind::Control);
  BOOST_REQUIRE(address.has_error());
  BOOST_TEST(address.error().detail.find("--internal-address: found \"host:1\"") !=
             std::string::npos);
  const auto missing = parse({"--zone", "a"}, ProcessKind::Data);
  BOOST_REQUIRE(missing.has_error());
  BOOST_TEST(missing.error().detail.find("/internal_address") != std::string::npos);
  BOOST_TEST(parse({"--callers-address", "127.0.0.1:1"}, ProcessKind::Control).has_error());
  BOOST_TEST(parse({"--settings", "absent.json"}, ProcessKind::Data).has_error());
}

BOOST_AUTO_TEST_CASE(help_and_version_are_returned_as_text) {
  BOOST_TEST(
      parse({"--help"}, ProcessKind::Data).value().informationText.find("--callers-address") !=
      std::string::npos);
  BOOST_TEST(
      parse({"--version"}, ProcessKind::Control).value().informationText.find("shedshed-control") ==
      0U);
}

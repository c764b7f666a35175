#include "engines/engine_listing.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

struct InvalidListing {
  std::string json;
  std::string path;
};

std::ostream& operator<<(std::ostream& out, const InvalidListing& listing) {
  return out << listing.json;
}

std::string engine(const std::string& fields) {
  return R"({"engines": [{"id": "ok", "address": "1.2.3.4:5", "model": "m", "max_running": 1}, {)" +
         fields + "}]}";
}

const std::vector<InvalidListing> kInvalidListings = {
    {"", "$:"},
    {"[]", "$:"},
    {"{} x", "$:"},
    {"{}", "engines: missing"},
    {R"({"engines": {}})", "engines:"},
    {R"({"engines": [], "engine": 1})", "engine: unknown"},
    {R"({"engines": [], "engines": []})", "engines: duplicate"},
    {R"({"engines": [[[[[]]]]]})", "$: nested"},
    {R"({"engines": [1]})", "engines[0]:"},
    {engine(R"("id": "a", "address": "1.2.3.4:5", "model": "m")"),
     "engines[1].max_running: missing"},
    {engine(R"("id": "a", "address": "1.2.3.4:6", "model": "m", "max_running": 1, "draining": 1)"),
     "engines[1].draining:"},
    {engine(R"("id": "a", "id": "b", "address": "1.2.3.4:6", "model": "m", "max_running": 1)"),
     "engines[1].id: duplicate"},
    {engine(R"("id": "ok", "address": "1.2.3.4:6", "model": "m", "max_running": 1)"),
     "engines[1].id: listed twice"},
    {engine(R"("id": "a", "address": "1.2.3.4:5", "model": "m", "max_running": 1)"),
     "engines[1].address: listed twice"},
    {engine(R"("id": "a", "address": "1.2.3:5", "model": "m", "max_running": 1)"),
     "engines[1].address:"},
    {engine(R"("id": "a", "address": "1.2.3.4.:5", "model": "m", "max_running": 1)"),
     "engines[1].address:"},
    {engine(R"("id": "a", "address": "1.2.3.256:5", "model": "m", "max_running": 1)"),
     "engines[1].address:"},
    {engine(R"("id": "a", "address": "1.2.3.4:0", "model": "m", "max_running": 1)"),
     "engines[1].address:"},
    {engine(R"("id": "a", "address": "host:5", "model": "m", "max_running": 1)"),
     "engines[1].address:"},
    {engine(R"("id": "a b", "address": "1.2.3.4:6", "model": "m", "max_running": 1)"),
     "engines[1].id:"},
    {engine(R"("id": 7, "address": "1.2.3.4:6", "model": "m", "max_running": 1)"),
     "engines[1].id:"},
    {engine(R"("id": "a", "address": "1.2.3.4:6", "model": "", "max_running": 1)"),
     "engines[1].model:"},
    {engine(R"("id": "a", "address": "1.2.3.4:6", "model": "m", "max_running": 0)"),
     "engines[1].max_running:"},
    {engine(R"("id": "a", "address": "1.2.3.4:6", "model": "m", "max_running": 1.5)"),
     "engines[1].max_running:"},
    {engine(R"("id": "a", "address": "1.2.3.4:6", "model": "m", "max_running": "8")"),
     "engines[1].max_running:"},
    {engine(R"("id": "a", "address": "1.2.3.4:6", "model": "m", "max_running": 1, "x": 1)"),
     "engines[1].x: unknown"},
};

}  // namespace

BOOST_DATA_TEST_CASE(an_invalid_listing_is_rejected_with_its_path,
                     boost::unit_test::data::make(kInvalidListings)) {
  const Result<EngineListing> listing = parseEngineListing(sample.json);
  BOOST_REQUIRE(listing.has_error());
  BOOST_TEST((listing.error().code == ErrorCode::InvalidArgument));
  BOOST_TEST(listing.error().detail.rfind(sample.path, 0) == 0U,
             listing.error().detail + " should start with " + sample.path);
}

BOOST_AUTO_TEST_CASE(a_valid_listing_is_sorted_by_id) {
  const Result<EngineListing> listing = parseEngineListing(
      engine(R"("id": "a", "address": "255.0.0.1:65535", "model": "[{", "max_running": 8)"));
  BOOST_REQUIRE(listing.has_value());
  BOOST_TEST(listing.value().engines[0].id == "a");
  BOOST_TEST(listing.value().engines[0].maxRunning == 8U);
  BOOST_TEST(listing.value().engines[1].id == "ok");
}

BOOST_AUTO_TEST_CASE(an_oversized_listing_is_too_large) {
  const Result<EngineListing> bytes = parseEngineListing(std::string(kMaxListingBytes + 1, ' '));
  BOOST_TEST((bytes.error().code == ErrorCode::TooLarge));
  std::string many = R"({"engines": [0)";
  for (std::size_t i = 0; i < kMaxListedEngines; ++i) {
    many += ",0";
  }
  BOOST_TEST((parseEngineListing(many + "]}").error().code == ErrorCode::TooLarge));
}

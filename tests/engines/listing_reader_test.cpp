// The listing is read once at a time and cached.
#include "engines/listing_reader.h"

#include "core_harness.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

/// Keeps reads pending until the test answers them.
class SlowListing : public ListingSource {
 public:
  void read(std::function<void(Result<std::vector<EngineInfo>>)> done) override {
    pending.push_back(std::move(done));
  }
  std::vector<std::function<void(Result<std::vector<EngineInfo>>)>> pending;
};

EngineInfo makeEngine(const std::string& id) {
  EngineInfo engine;
  engine.id = id;
  return engine;
}

struct ReaderFixture {
  Harness harness;
  SlowListing source;
  ListingReader reader{harness.context("r1:1", ServiceId::EngineList), &source};
  int ended = 0;

  void read() {
    reader.read([this] { ++ended; });
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(listing_reader)

BOOST_FIXTURE_TEST_CASE(one_reading_is_in_progress_at_a_time, ReaderFixture) {
  read();
  read();
  BOOST_REQUIRE(source.pending.size() == 1U);
  BOOST_TEST(reader.reading());
  source.pending[0](std::vector<EngineInfo>{});
  BOOST_TEST(!reader.reading());
  BOOST_TEST(ended == 1);
}

BOOST_FIXTURE_TEST_CASE(the_cached_listing_is_as_old_as_the_start_of_its_reading, ReaderFixture) {
  const Time startedAt = harness.now;
  read();
  harness.now += std::chrono::seconds(1);
  source.pending[0](std::vector<EngineInfo>{makeEngine("e2"), makeEngine("e1")});
  BOOST_TEST((reader.cachedAt() == startedAt));
  BOOST_REQUIRE(reader.cached().size() == 2U);
  BOOST_TEST(reader.cached()[0].id == "e1");
}

BOOST_FIXTURE_TEST_CASE(a_failed_reading_keeps_the_cached_listing, ReaderFixture) {
  read();
  source.pending[0](std::vector<EngineInfo>{makeEngine("e1")});
  const std::uint64_t digest = reader.cachedDigest();
  harness.now += std::chrono::seconds(1);
  read();
  source.pending[1](makeError(ErrorCode::EngineFailed));
  BOOST_TEST(ended == 2);
  BOOST_TEST(reader.cachedDigest() == digest);
  BOOST_TEST(reader.cached().size() == 1U);
  BOOST_TEST((reader.cachedAt() < harness.now));
}

BOOST_AUTO_TEST_SUITE_END()

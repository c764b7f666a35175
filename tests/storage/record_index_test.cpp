// Tests that the index locates the newest versions and counts their live bytes.
#include "storage/record_index.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr std::uint64_t kCachedValueBytes = 4;

void apply(RecordIndex& index, std::uint64_t segment, const std::vector<Mutation>& mutations) {
  std::string payload;
  for (const Mutation& mutation : mutations) {
    appendPayloadEntry(payload, mutation.key, mutation.value);
  }
  index.apply(payload, segment, kFirstRecordOffset);
}

std::vector<std::string> keysIn(const RecordIndex& index, std::uint64_t segment) {
  std::vector<std::string> keys;
  const Status visited =
      index.forEachIn(segment, [&keys](const std::string& key, const RecordLocation&) {
        keys.push_back(key);
        return okStatus();
      });
  BOOST_REQUIRE(visited);
  return keys;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(record_index)

BOOST_AUTO_TEST_CASE(newest_version_replaces_the_older_one_in_its_segment) {
  RecordIndex index(kCachedValueBytes);
  apply(index, 1, {{"a", "1"}, {"b", "2"}});
  apply(index, 2, {{"a", "3"}});
  BOOST_TEST(index.find("a")->segmentSequence == 2U);
  BOOST_TEST(index.find("a")->cached.value() == "3");
  BOOST_TEST(keysIn(index, 1) == std::vector<std::string>{"b"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(large_value_is_located_and_not_cached) {
  RecordIndex index(kCachedValueBytes);
  apply(index, 1, {{"key", "large value"}});
  const std::optional<RecordLocation> location = index.find("key");
  BOOST_REQUIRE(location.has_value());
  BOOST_TEST(!location->cached.has_value());
  BOOST_TEST(location->bytes == 11U);
  BOOST_TEST(location->offset == kFirstRecordOffset + payloadEntryBytes(3, 0));
}

BOOST_AUTO_TEST_CASE(tombstone_removes_the_key_and_its_live_bytes) {
  RecordIndex index(kCachedValueBytes);
  apply(index, 1, {{"a", "1"}, {"b", "2"}});
  BOOST_TEST(index.liveBytes() == 2 * payloadEntryBytes(1, 1));
  apply(index, 1, {{"a", std::nullopt}});
  BOOST_TEST(!index.find("a").has_value());
  BOOST_TEST(index.keys("") == std::vector<std::string>{"b"}, boost::test_tools::per_element());
  BOOST_TEST(index.liveBytes() == payloadEntryBytes(1, 1));
}

BOOST_AUTO_TEST_CASE(live_bytes_after_a_group_count_the_last_mutation_of_a_key) {
  RecordIndex index(kCachedValueBytes);
  apply(index, 1, {{"a", "1"}, {"b", "2"}});
  const std::uint64_t after =
      index.liveBytesAfter({{"a", "longer"}, {"a", "123"}, {"b", std::nullopt}});
  BOOST_TEST(after == payloadEntryBytes(1, 3));
  BOOST_TEST(index.liveBytes() == 2 * payloadEntryBytes(1, 1));
}

BOOST_AUTO_TEST_SUITE_END()

// Segment size and count of the log store on disks of different sizes.
#include "process/state_process.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr std::uint64_t kMegabyte = 1U << 20U;

std::uint64_t totalBytes(const LogStoreOptions& options) {
  return options.segmentBytes * options.segmentCount;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ring_size)

BOOST_AUTO_TEST_CASE(three_quarters_of_a_known_disk_are_used) {
  for (const std::uint32_t megabytes : {64U, 200U, 250U}) {
    const LogStoreOptions options = logStoreOptionsFor(megabytes);
    BOOST_TEST(totalBytes(options) <= megabytes * kMegabyte * 3 / 4);
    BOOST_TEST(totalBytes(options) >= megabytes * kMegabyte / 2);
  }
}

BOOST_AUTO_TEST_CASE(a_disk_of_unknown_size_gets_the_usual_ring) {
  BOOST_TEST(totalBytes(logStoreOptionsFor(0)) == totalBytes(LogStoreOptions{}));
}

BOOST_AUTO_TEST_CASE(a_large_disk_is_not_read_whole_at_each_start) {
  BOOST_TEST(logStoreOptionsFor(420).segmentCount == 12U);
  BOOST_TEST(logStoreOptionsFor(1U << 20U).segmentCount == 12U);
}

/// Two segments hold no live records: with four segments that is half of the store. Stores with
/// 110 MB refused batches at 25 MB of records.
BOOST_AUTO_TEST_CASE(most_of_a_small_ring_holds_live_records) {
  for (const std::uint32_t megabytes : {64U, 110U, 150U}) {
    const LogStoreOptions options = logStoreOptionsFor(megabytes);
    const std::uint64_t live =
        options.segmentBytes * (options.segmentCount - 2) * options.livePercent / 100;
    BOOST_TEST(live >= megabytes * kMegabyte * 2 / 5);
  }
}

BOOST_AUTO_TEST_CASE(a_file_of_a_small_ring_holds_the_largest_settings) {
  constexpr std::uint64_t kLargestSettings = 4 * kMegabyte;
  for (const std::uint32_t megabytes : {32U, 64U, 110U, 150U}) {
    BOOST_TEST(logStoreOptionsFor(megabytes).segmentBytes > kLargestSettings);
  }
}

BOOST_AUTO_TEST_SUITE_END()

// The ring of files on disks of different sizes.
#include "process/state_process.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr std::uint64_t kMegabyte = 1U << 20U;

std::uint64_t bytesOf(const RingKnobs& knobs) {
  return knobs.fileBytes * knobs.fileCount;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ring_size)

BOOST_AUTO_TEST_CASE(three_quarters_of_a_known_disk_are_used) {
  for (const std::uint32_t megabytes : {64U, 200U, 250U}) {
    const RingKnobs knobs = ringKnobsFor(megabytes);
    BOOST_TEST(bytesOf(knobs) <= megabytes * kMegabyte * 3 / 4);
    BOOST_TEST(bytesOf(knobs) >= megabytes * kMegabyte / 2);
  }
}

BOOST_AUTO_TEST_CASE(a_disk_of_unknown_size_gets_the_usual_ring) {
  BOOST_TEST(bytesOf(ringKnobsFor(0)) == bytesOf(RingKnobs{}));
}

BOOST_AUTO_TEST_CASE(a_large_disk_is_not_read_whole_at_each_start) {
  BOOST_TEST(ringKnobsFor(420).fileCount == 12U);
  BOOST_TEST(ringKnobsFor(1U << 20U).fileCount == 12U);
}

BOOST_AUTO_TEST_SUITE_END()

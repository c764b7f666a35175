// Slots of the batch pool go to the runs with the earliest due time.
#include "slots/share_allocator.h"

#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace shedshed;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSize = 100;
constexpr Duration kMeanHoldTime = 1s;

struct AllocatorFixture {
  std::uint32_t request(const std::string& run, Duration dueIn, std::uint32_t requestedSlots) {
    return allocator.allocate({run, dueIn, requestedSlots}, kSize, kMeanHoldTime, now);
  }
  ShareAllocator allocator;
  Time now = Time(100s);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(share_allocator)

BOOST_FIXTURE_TEST_CASE(the_run_that_is_due_first_gets_what_it_requests, AllocatorFixture) {
  BOOST_TEST(request("late", 8s, 80) == 80U);
  BOOST_TEST(request("early", 4s, 70) == 70U);
  BOOST_TEST(request("late", 8s, 80) == 30U);
  BOOST_TEST(request("latest", 9s, 80) == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_overdue_run_comes_after_those_that_can_be_in_time, AllocatorFixture) {
  BOOST_TEST(request("overdue", 500ms, 60) == 60U);
  BOOST_TEST(request("early", 4s, 70) == 70U);
  BOOST_TEST(request("overdue", 500ms, 60) == 30U);
  BOOST_TEST(request("early", 4s, 70) == 70U);
  BOOST_TEST(request("long overdue", -5s, 60) == 30U);
}

BOOST_FIXTURE_TEST_CASE(a_run_without_requests_is_forgotten, AllocatorFixture) {
  BOOST_TEST(request("early", 4s, 100) == 100U);
  BOOST_TEST(request("late", 8s, 100) == 0U);
  now += 1s;
  BOOST_TEST(request("late", 7s, 100) == 100U);
}

BOOST_FIXTURE_TEST_CASE(runs_of_one_due_time_do_not_both_go_first, AllocatorFixture) {
  request("a", 4s, 100);
  request("b", 4s, 100);
  BOOST_TEST(request("a", 4s, 100) + request("b", 4s, 100) == kSize);
}

BOOST_AUTO_TEST_SUITE_END()

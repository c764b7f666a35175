#include "gateway/quota_share.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

BOOST_AUTO_TEST_CASE(all_fronts_together_stay_within_the_quota) {
  constexpr int kFronts = 11;
  constexpr double kRate = 60;
  constexpr double kBurst = 60;
  constexpr int kSeconds = 5;
  int admitted = 0;
  for (int front = 0; front < kFronts; ++front) {
    QuotaShare share;
    for (int tick = 0; tick < kSeconds * 1000; ++tick) {
      const Time now = Time() + std::chrono::milliseconds(tick);
      admitted += share.take("tenant", kRate, kBurst, kFronts, now) ? 1 : 0;
    }
  }
  BOOST_TEST(admitted <= kRate * kSeconds + kBurst);
  BOOST_TEST(admitted > 0.9 * kRate * kSeconds);
}

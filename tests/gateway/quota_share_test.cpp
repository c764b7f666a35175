#include "gateway/quota_share.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;

namespace {

constexpr int kDataNodes = 11;
constexpr double kRate = 76;
constexpr double kBurst = 76;
constexpr SharedQuota kQuota{kRate, kBurst, kDataNodes};

Time at(int milliseconds) {
  return Time() + std::chrono::milliseconds(milliseconds);
}

/// Number of calls that all nodes admit in the @p milliseconds after @p begin, with one attempt per
/// node and millisecond.
int admitted(std::vector<QuotaShare>& shares, int begin, int milliseconds) {
  int count = 0;
  for (int tick = begin; tick < begin + milliseconds; ++tick) {
    for (QuotaShare& share : shares) {
      count += share.tryAcquire("tenant", kQuota, at(tick)) ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_CASE(all_data_nodes_together_stay_within_rate_and_burst) {
  std::vector<QuotaShare> shares(kDataNodes);
  const int passed = admitted(shares, 0, 5000);
  BOOST_TEST(passed <= kRate * 5 + kBurst + kDataNodes);
  BOOST_TEST(passed > 0.9 * kRate * 5);
}

/// Regression: a busy tenant used its whole quota just before its store was killed. The local
/// shares then allowed a second burst, and one window exceeded the quota.
BOOST_AUTO_TEST_CASE(a_tenant_at_its_limit_gets_no_second_burst) {
  std::vector<QuotaShare> shares(kDataNodes);
  admitted(shares, 0, 1000);
  for (QuotaShare& share : shares) {
    share.recordRefusal("tenant", at(60000));
  }
  const int passed = admitted(shares, 60000, 100);
  BOOST_TEST(passed <= 0.1 * kRate + 0.2 * kRate + kDataNodes);
}

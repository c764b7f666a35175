/// Quota pools, and the numbers of batch items.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

SlotLimit quotaOf(const std::string& tenant) {
  SlotLimit limit = SlotFleet::limit(tenant);
  limit.pool = {kQuotaLimiter, tenant};
  limit.timeToLive = kDefaultQuotaWindow;
  limit.untilExpiry = true;
  return limit;
}

}  // namespace

/// 2 a second with a burst of 3: no window of 5 s takes more than 13, however they come.
BOOST_AUTO_TEST_CASE(no_window_passes_more_than_rate_times_window_and_burst) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {2, 3};
  std::vector<Time> granted;
  for (int step = 0; step < 300; ++step) {
    const Result<SlotGrant> grant = fleet.acquire(step % 2, {quotaOf("t")});
    if (grant) {
      granted.push_back(fleet.harness.now);
      fleet.fronts[static_cast<std::size_t>(step % 2)]->core.release(grant.value().grantId);
    }
    fleet.harness.advance(milliseconds(100));
  }
  for (const Time begin : granted) {
    const auto inWindow = std::count_if(granted.begin(), granted.end(), [&](Time time) {
      return time >= begin && time < begin + kDefaultQuotaWindow;
    });
    BOOST_TEST(inWindow <= 13);
  }
  BOOST_TEST(granted.size() > 60U);
}

BOOST_AUTO_TEST_CASE(a_request_that_another_limit_refuses_gives_its_quota_back) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {0, 1};
  fleet.rates.rates["u"] = {0, 1};
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST(fleet.acquire(0, {quotaOf("u"), SlotFleet::limit("t")}).has_error());
  fleet.harness.advance(seconds(1));
  BOOST_TEST(fleet.acquire(0, {quotaOf("u")}).has_value());
}

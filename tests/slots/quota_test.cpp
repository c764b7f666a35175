/// Quota pools, and the numbers of batch items.
#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds kWindow{5};

SlotLimit quotaOf(const std::string& tenant) {
  SlotLimit limit = SlotFleet::limit(tenant);
  limit.pool = {kQuotaLimiter, tenant};
  limit.timeToLive = kWindow;
  limit.untilExpiry = true;
  return limit;
}

}  // namespace

/// At 2 requests per second with a burst of 3, no window of 5 s admits more than 13, however they
/// arrive.
BOOST_AUTO_TEST_CASE(no_window_passes_more_than_rate_times_window_and_burst) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {2, 3};
  std::vector<Time> granted;
  for (int step = 0; step < 300; ++step) {
    const Result<SlotGrant> grant = fleet.acquire(step % 2, {quotaOf("t")});
    if (grant) {
      granted.push_back(fleet.harness.now);
      fleet.dataNodes[static_cast<std::size_t>(step % 2)]->core.release(grant.value().grantId);
    }
    fleet.harness.advance(milliseconds(100));
  }
  for (const Time begin : granted) {
    const auto inWindow = std::count_if(granted.begin(), granted.end(), [&](Time time) {
      return time >= begin && time < begin + kWindow;
    });
    BOOST_TEST(inWindow <= 13);
  }
  BOOST_TEST(granted.size() > 60U);
}

/// A tenant that requests many times its quota gets its rate in each second, not the whole window's
/// quota at once and nothing for the rest of the window.
BOOST_AUTO_TEST_CASE(a_tenant_over_its_quota_gets_its_rate_in_every_second) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {20, 10};
  for (int second = 0; second < 12; ++second) {
    int granted = 0;
    for (int step = 0; step < 100; ++step) {
      granted += fleet.acquire(step % 2, {quotaOf("t")}).has_value() ? 1 : 0;
      fleet.harness.advance(milliseconds(10));
    }
    BOOST_TEST(granted >= 19);
    BOOST_TEST(granted <= (second == 0 ? 33 : 21));
  }
}

/// Unused quota accumulates at the rate, up to the burst.
BOOST_AUTO_TEST_CASE(a_burst_fills_up_again_at_the_rate) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {10, 20};
  const auto acquireAll = [&] {
    int granted = 0;
    while (fleet.acquire(0, {quotaOf("t")}).has_value()) {
      ++granted;
    }
    return granted;
  };
  BOOST_TEST(acquireAll() == 21);
  fleet.harness.advance(milliseconds(1050));
  BOOST_TEST(acquireAll() == 10);
  fleet.harness.advance(seconds(10));
  BOOST_TEST(acquireAll() == 21);
}

/// The successor does not know when the numbers were taken; it may reject requests for some time,
/// but must not grant more.
BOOST_AUTO_TEST_CASE(a_takeover_grants_no_second_burst) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {2, 10};
  for (int i = 0; i < 11; ++i) {
    BOOST_TEST(fleet.acquire(0, {quotaOf("t")}).has_value());
  }
  fleet.takeOver(1, RecoveryKind::Complete);
  BOOST_TEST(codeOf(fleet.acquire(1, {quotaOf("t")})) == ErrorCode::PoolFull);
  fleet.harness.advance(seconds(8));
  BOOST_TEST(fleet.acquire(1, {quotaOf("t")}).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_that_another_limit_rejects_returns_its_quota) {
  SlotFleet fleet;
  fleet.rates.rates["t"] = {0, 1};
  fleet.rates.rates["u"] = {0, 1};
  BOOST_TEST(fleet.acquire(0, {SlotFleet::limit("t")}).has_value());
  BOOST_TEST(fleet.acquire(0, {quotaOf("u"), SlotFleet::limit("t")}).has_error());
  fleet.harness.advance(seconds(1));
  BOOST_TEST(fleet.acquire(0, {quotaOf("u")}).has_value());
}

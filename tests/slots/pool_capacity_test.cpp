// Sizes of the pools whose capacity is lent.
#include "slots/pool_capacity.h"

#include "slot_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace shedshed;
using namespace shedshed::test;

namespace {

struct CapacityFixture {
  CapacityFixture() { engines.setReady(20); }

  Harness harness;
  FakeMajority majority;
  FakePartitionStore store{majority, {"s1:1"}};
  FakeRates rates;
  FakeEngines engines;
  FakeDirectory directory;
  SlotOwnerEnvironment environment{
      harness.context("s1:1", ServiceId::SlotOwner), store, rates, engines, directory, {}};
  PoolSizer sizer{rates, engines};
  PoolCapacity capacity{environment, sizer};
  PoolName batchPool{kBatchLimiter, "m"};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(pool_capacity)

BOOST_FIXTURE_TEST_CASE(a_lending_limit_expires_unless_it_is_repeated, CapacityFixture) {
  capacity.applyLendingLimit({"m", 8, 1, 1});
  BOOST_TEST(capacity.size(batchPool) == 8U);
  harness.now += kLendingLimitLifetime;
  BOOST_TEST(capacity.size(batchPool) == 8U);
  harness.now += milliseconds(1);
  BOOST_TEST(capacity.size(batchPool) == 0U);
}

BOOST_FIXTURE_TEST_CASE(an_older_lending_limit_is_ignored, CapacityFixture) {
  capacity.applyLendingLimit({"m", 8, 2, 5});
  capacity.applyLendingLimit({"m", 9, 2, 4});
  capacity.applyLendingLimit({"m", 9, 1, 6});
  BOOST_TEST(capacity.size(batchPool) == 8U);
  capacity.applyLendingLimit({"m", 3, 3, 1});
  BOOST_TEST(capacity.size(batchPool) == 3U);
}

BOOST_FIXTURE_TEST_CASE(no_more_is_lent_than_the_ready_engines_run, CapacityFixture) {
  capacity.applyLendingLimit({"m", 30, 1, 1});
  BOOST_TEST(capacity.size(batchPool) == 20U);
}

BOOST_FIXTURE_TEST_CASE(items_take_numbers_above_those_of_live_calls, CapacityFixture) {
  rates.rates["t"] = {0, 8};
  rates.rates["u"] = {0, 4};
  const PoolName tenant{kTenantLimiter, "t"};
  const NumberRange unlent = capacity.grantableNumbers(tenant, SlotClass::BatchItem);
  BOOST_TEST(unlent.first == 0U);
  BOOST_TEST(unlent.count == 6U);
  capacity.applyLendingLimit({"m", 10, 1, 1});
  const NumberRange lent = capacity.grantableNumbers(tenant, SlotClass::BatchItem);
  BOOST_TEST(lent.first == 8U);
  BOOST_TEST(lent.count == 5U);
  const NumberRange live = capacity.grantableNumbers(tenant, SlotClass::Live);
  BOOST_TEST(live.first == 0U);
  BOOST_TEST(live.count == 8U);
}

BOOST_AUTO_TEST_SUITE_END()

// A request acquires its limits in a fixed order and tracks what to release.
#include "slots/slot_acquisition.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace shedshed;
using namespace std::chrono_literals;

namespace {

constexpr Time kNow = Time(100s);

SlotLimit limitOf(const std::string& limiter, const std::string& key, Duration block = {}) {
  SlotLimit limit;
  limit.pool = {limiter, key};
  limit.block = block;
  limit.timeToLive = 6s;
  return limit;
}

struct AcquisitionFixture {
  SlotAcquisition acquisition(std::vector<SlotLimit> limits) {
    SlotRequest request;
    request.limits = std::move(limits);
    return SlotAcquisition(
        std::move(request), [this](Result<SlotGrant> result) { outcome = std::move(result); },
        kNow);
  }
  static void grant(SlotAcquisition& acquisition, std::uint64_t token, std::uint32_t number) {
    acquisition.startLimit({token, token}, kNow, kNow + 1s);
    acquisition.addGrantedSlot(number, "");
  }
  std::optional<Result<SlotGrant>> outcome;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_acquisition)

BOOST_FIXTURE_TEST_CASE(limits_are_requested_in_the_order_of_their_pools, AcquisitionFixture) {
  SlotAcquisition request = acquisition({limitOf("tenant", "b"), limitOf("quota", "z")});
  BOOST_TEST(request.currentLimit().pool.limiter == "quota");
  grant(request, 1, 7);
  BOOST_TEST(request.currentLimit().pool.limiter == "tenant");
  grant(request, 2, 8);
  BOOST_REQUIRE(request.complete());
  request.finishGranted(3);
  BOOST_REQUIRE(outcome.has_value() && outcome->has_value());
  // The grant lists the slots in the order of the request's limits.
  BOOST_TEST(outcome->value().slots[0].number == 8U);
  BOOST_TEST(outcome->value().slots[1].number == 7U);
}

BOOST_FIXTURE_TEST_CASE(a_limit_until_expiry_is_not_renewed, AcquisitionFixture) {
  SlotLimit quota = limitOf("quota", "t");
  quota.untilExpiry = true;
  SlotAcquisition request = acquisition({quota, limitOf("tenant", "t")});
  grant(request, 1, 0);
  grant(request, 2, 0);
  BOOST_TEST(request.renewedTokens().size() == 1U);
  BOOST_TEST(request.expiringClaims().size() == 1U);
  request.clearGranted();
  BOOST_TEST(request.renewedTokens().empty());
  BOOST_TEST(request.expiringClaims().empty());
}

BOOST_FIXTURE_TEST_CASE(a_request_without_limits_is_complete, AcquisitionFixture) {
  BOOST_TEST(acquisition({}).complete());
}

BOOST_FIXTURE_TEST_CASE(the_shortest_block_bounds_the_polling, AcquisitionFixture) {
  const SlotAcquisition request =
      acquisition({limitOf("tenant", "a", 1s), limitOf("tenant", "b", 3s)});
  BOOST_TEST(request.mayBlock(1s, kNow));
  BOOST_TEST(!request.mayBlock(1s, kNow + 1ms));
}

BOOST_FIXTURE_TEST_CASE(a_rejection_names_the_pool, AcquisitionFixture) {
  SlotAcquisition request = acquisition({limitOf("tenant", "t")});
  request.finishRejected(ErrorCode::PoolFull);
  BOOST_REQUIRE(outcome.has_value() && outcome->has_error());
  BOOST_TEST(outcome->error().detail == "tenant t");
}

BOOST_AUTO_TEST_SUITE_END()

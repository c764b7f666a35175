#include "slots/slot_acquisition.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace shedshed {
namespace {

std::vector<std::size_t> requestOrder(const std::vector<SlotLimit>& limits) {
  std::vector<std::size_t> order;
  for (std::size_t index = 0; index < limits.size(); ++index) {
    order.push_back(index);
  }
  std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
    const PoolName& a = limits[left].pool;
    const PoolName& b = limits[right].pool;
    return std::tie(a.limiter, a.key, left) < std::tie(b.limiter, b.key, right);
  });
  return order;
}

Duration smallestBlock(const std::vector<SlotLimit>& limits) {
  Duration smallest = Duration::max();
  for (const SlotLimit& limit : limits) {
    smallest = std::min(smallest, limit.block);
  }
  return limits.empty() ? Duration{0} : smallest;
}

}  // namespace

SlotAcquisition::SlotAcquisition(SlotRequest request, Done done, Time now)
    : request_(std::move(request)), done_(std::move(done)), order_(requestOrder(request_.limits)),
      slots_(request_.limits.size()), blockUntil_(now + smallestBlock(request_.limits)) {}

void SlotAcquisition::restart() {
  polling_ = false;
  position_ = 0;
  slots_.assign(request_.limits.size(), SlotGrant::Slot{});
}

void SlotAcquisition::startLimit(const OwnerToken& token, Time now, Time storeDeadline) {
  const SlotLimit& limit = currentLimit();
  attempt_ = {};
  attempt_.claim.limiter = limit.pool.limiter;
  attempt_.claim.key = limit.pool.key;
  attempt_.claim.token = token;
  attempt_.claim.timeToLiveMilliseconds = toMilliseconds(limit.timeToLive);
  attempt_.claim.serviceClass = request_.serviceClass;
  attempt_.firstSentAt = now;
  attempt_.storeDeadline = storeDeadline;
}

void SlotAcquisition::addGrantedSlot(std::uint32_t number, const std::string& engine) {
  attempt_.claim.number = number;
  if (currentLimit().untilExpiry) {
    expiringClaims_.push_back(attempt_.claim);
  } else {
    renewedTokens_.push_back(attempt_.claim.token);
  }
  currentSlot() = {attempt_.claim.pool(), number, false, engine};
  ++position_;
}

void SlotAcquisition::continueWithoutSlot() {
  currentSlot() = {attempt_.claim.pool(), 0, true, {}};
  ++position_;
}

void SlotAcquisition::clearGranted() {
  renewedTokens_.clear();
  expiringClaims_.clear();
}

void SlotAcquisition::finishGranted(std::uint64_t grantId) {
  SlotGrant grant;
  grant.grantId = grantId;
  grant.slots = std::move(slots_);
  done_(std::move(grant));
}

void SlotAcquisition::finishRejected(ErrorCode code, std::optional<std::uint32_t> poolSize) {
  const PoolName& pool = currentLimit().pool;
  std::string detail = pool.limiter + " " + pool.key;
  if (poolSize) {
    detail += " of size " + std::to_string(*poolSize);
  }
  done_(makeError(code, detail));
}

}  // namespace shedshed

#include "slots/share_allocator.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace shedshed {
namespace {

/// A run without a request for this long needs no more slots, or its node has failed.
constexpr Duration kRunTimeout = std::chrono::seconds(1);
/// A run counts as overdue when fewer than this many mean hold times are left before it is due:
/// most items take no longer.
constexpr int kOverdueHoldTimes = 2;

}  // namespace

std::uint32_t ShareAllocator::allocate(const ShareRequest& request, std::uint32_t poolSize,
                                       Duration meanHoldTime, Time now) {
  removeInactiveRuns(now);
  runs_[request.run] = {now + request.dueIn, request.requestedSlots, now};
  const auto priority = [&](const std::string& name, const Run& run) {
    const bool overdue = run.due < now + kOverdueHoldTimes * meanHoldTime;
    return std::make_tuple(overdue, run.due, name);
  };
  const auto ownPriority = priority(request.run, runs_[request.run]);
  std::uint64_t allocatedBefore = 0;
  for (const auto& [name, run] : runs_) {
    allocatedBefore += priority(name, run) < ownPriority ? run.requestedSlots : 0;
  }
  if (allocatedBefore >= poolSize) {
    return 0;
  }
  return std::min<std::uint32_t>(request.requestedSlots,
                                 poolSize - static_cast<std::uint32_t>(allocatedBefore));
}

void ShareAllocator::removeInactiveRuns(Time now) {
  for (auto run = runs_.begin(); run != runs_.end();) {
    run = now - run->second.lastRequestAt >= kRunTimeout ? runs_.erase(run) : std::next(run);
  }
}

}  // namespace shedshed

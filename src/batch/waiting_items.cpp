#include "batch/waiting_items.h"

#include <algorithm>

namespace shedshed {
namespace {

/// Brings the target of @p item up to @p targetsVersion; false if it has none.
bool updateTarget(WaitingItem& item, std::uint64_t targetsVersion,
                  const std::function<Result<ItemTarget>(const std::string&)>& targetOf) {
  if (item.targetsVersion == targetsVersion) {
    return true;
  }
  Result<ItemTarget> target = targetOf(item.body);
  if (!target) {
    return false;
  }
  if (target.value().model != item.target.model) {
    item.notBefore = {};
  }
  item.target = std::move(target.value());
  item.targetsVersion = targetsVersion;
  return true;
}

}  // namespace

void WaitingItems::updateTargets(
    std::uint64_t targetsVersion,
    const std::function<Result<ItemTarget>(const std::string&)>& targetOf) {
  for (auto* items : {&queue_, &requeued_}) {
    const auto dropped = std::remove_if(items->begin(), items->end(), [&](WaitingItem& item) {
      return !updateTarget(item, targetsVersion, targetOf);
    });
    items->erase(dropped, items->end());
  }
}

void WaitingItems::returnDueItems(Time now) {
  for (auto item = requeued_.begin(); item != requeued_.end();) {
    if (now < item->notBefore && item->mayRun(now)) {
      ++item;
      continue;
    }
    queue_.push_front(std::move(*item));
    item = requeued_.erase(item);
  }
}

std::optional<WaitingItem>
WaitingItems::takeFirst(const std::function<bool(const WaitingItem&)>& admitted) {
  const auto found = std::find_if(queue_.begin(), queue_.end(), admitted);
  if (found == queue_.end()) {
    return std::nullopt;
  }
  WaitingItem next = std::move(*found);
  queue_.erase(found);
  return next;
}

bool WaitingItems::contains(std::uint64_t position) const {
  const auto atPosition = [position](const WaitingItem& item) { return item.position == position; };
  return std::any_of(queue_.begin(), queue_.end(), atPosition) ||
         std::any_of(requeued_.begin(), requeued_.end(), atPosition);
}

std::uint32_t WaitingItems::count(const std::string& model) const {
  const auto ofModel = [&model](const WaitingItem& item) { return item.target.model == model; };
  const auto queued = std::count_if(queue_.begin(), queue_.end(), ofModel);
  const auto requeued = std::count_if(requeued_.begin(), requeued_.end(), ofModel);
  return static_cast<std::uint32_t>(queued + requeued);
}

std::map<std::string, std::uint32_t> WaitingItems::countByModel() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto* items : {&queue_, &requeued_}) {
    for (const WaitingItem& item : *items) {
      ++counts[item.target.model];
    }
  }
  return counts;
}

void WaitingItems::clear() {
  queue_.clear();
  requeued_.clear();
}

}  // namespace shedshed

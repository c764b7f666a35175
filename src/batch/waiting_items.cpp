#include "batch/waiting_items.h"

#include <algorithm>

namespace shedshed {

void WaitingItems::returnDueItems(Time now) {
  for (auto item = requeued_.begin(); item != requeued_.end();) {
    if (now < item->notBefore) {
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

std::map<std::string, std::uint32_t> WaitingItems::countByModel() const {
  std::map<std::string, std::uint32_t> counts;
  for (const auto* items : {&queue_, &requeued_}) {
    for (const WaitingItem& item : *items) {
      ++counts[item.model];
    }
  }
  return counts;
}

void WaitingItems::clear() {
  queue_.clear();
  requeued_.clear();
}

}  // namespace shedshed

#include "register/promise_set.h"

#include <algorithm>

namespace shedshed {

PromiseSet::Newest PromiseSet::newest() const {
  const auto found =
      std::max_element(promises_.begin(), promises_.end(), [](const auto& left, const auto& right) {
        return left.second.accepted.ballot < right.second.accepted.ballot;
      });
  const std::size_t agreeing =
      std::count_if(promises_.begin(), promises_.end(), [&](const auto& entry) {
        return entry.second.accepted.ballot == found->second.accepted.ballot;
      });
  return {found->first, found->second, agreeing};
}

}  // namespace shedshed

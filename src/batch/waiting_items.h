/// @file
/// Items of one run that are not started yet.
#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace shedshed {

/// An item that waits to be started.
struct WaitingItem {
  std::uint64_t position = 0;
  std::string model;  ///< Empty if the body names none: the item can only fail.
  std::string body;
  Time notBefore{};  ///< Of a requeued item.
};

/// A queue in the order of the batch, beside items whose slots were rejected and that wait for
/// their delay. Core thread only.
class WaitingItems {
 public:
  /// Adds an item at the end of the queue.
  void add(WaitingItem item) { queue_.push_back(std::move(item)); }

  /// Keeps an item back until its `notBefore`.
  void requeue(WaitingItem item) { requeued_.push_back(std::move(item)); }

  /// Moves the requeued items whose delay is over to the front of the queue.
  void returnDueItems(Time now);

  /// Removes and returns the first queued item that @p admitted accepts.
  std::optional<WaitingItem> takeFirst(const std::function<bool(const WaitingItem&)>& admitted);

  bool contains(std::uint64_t position) const;
  void clear();

  std::size_t queued() const { return queue_.size(); }
  std::size_t requeued() const { return requeued_.size(); }

 private:
  std::deque<WaitingItem> queue_;
  std::deque<WaitingItem> requeued_;
};

}  // namespace shedshed

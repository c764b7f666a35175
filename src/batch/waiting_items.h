/// @file
/// Items of one run that have not been started.
#pragma once

#include "engines/engine_runner.h"
#include "kernel/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace shedshed {

/// An item waiting to be started.
struct WaitingItem {
  std::uint64_t position = 0;
  ItemTarget target;
  std::uint64_t targetsVersion = 0;  ///< `EngineRunner::targetsVersion` that `target` is based on.
  std::string body;
  Time notBefore{};  ///< Earliest time of the next slot request, for a requeued item.

  /// False if the item can only be listed as failed, for which it needs neither slots nor an
  /// engine.
  bool mayRun(Time now) const { return !target.model.empty() && now < target.giveUpAt; }
};

/// Queue of items in batch order, and a separate list of items whose slot request was rejected and
/// that wait for their delay. Core thread only.
class WaitingItems {
 public:
  /// Adds an item at the end of the queue.
  void add(WaitingItem item) { queue_.push_back(std::move(item)); }

  /// Holds an item until its `notBefore`.
  void requeue(WaitingItem item) { requeued_.push_back(std::move(item)); }

  /// Brings the targets of all items up to @p targetsVersion. @p targetOf returns the target of an
  /// item with the given body; if it fails, the item is dropped. An item whose model changes waits
  /// for no delay: its delay was that of another pool.
  void updateTargets(std::uint64_t targetsVersion,
                     const std::function<Result<ItemTarget>(const std::string&)>& targetOf);

  /// Moves requeued items to the front of the queue whose delay has elapsed or which may not run
  /// any more.
  void returnDueItems(Time now);

  /// Removes and returns the first queued item for which @p admitted returns true.
  std::optional<WaitingItem> takeFirst(const std::function<bool(const WaitingItem&)>& admitted);

  bool contains(std::uint64_t position) const;
  void clear();

  /// Number of items of @p model.
  std::uint32_t count(const std::string& model) const;
  /// Number of items by model.
  std::map<std::string, std::uint32_t> countByModel() const;

  std::size_t queued() const { return queue_.size(); }
  std::size_t requeued() const { return requeued_.size(); }

 private:
  std::deque<WaitingItem> queue_;
  std::deque<WaitingItem> requeued_;
};

}  // namespace shedshed

/// @file
/// The timers of all cores of one node, indexed by owner and by deadline.
#pragma once

#include "kernel/core.h"

#include <boost/multi_index/composite_key.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <optional>

namespace shedshed {

/// Not thread-safe. Timers with equal deadlines fire in the order in which they were started.
class TimerQueue {
 public:
  struct Timer {
    ServiceId service;
    TimerId id;
    Time deadline;
    std::uint64_t order;
  };

  void start(ServiceId service, TimerId id, Time deadline) {
    stop(service, id);
    timers_.insert(Timer{service, id, deadline, nextOrder_++});
  }

  void stop(ServiceId service, TimerId id) {
    auto& byOwner = timers_.get<ByOwner>();
    const auto found = byOwner.find(std::make_tuple(service, id));
    if (found != byOwner.end()) {
      byOwner.erase(found);
    }
  }

  /// Returns the earliest deadline, or nullopt if no timer is running.
  std::optional<Time> earliestDeadline() const {
    const auto& byDeadline = timers_.get<ByDeadline>();
    if (byDeadline.empty()) {
      return std::nullopt;
    }
    return byDeadline.begin()->deadline;
  }

  /// Removes and returns the earliest timer that is due at @p now.
  std::optional<Timer> popDue(Time now) {
    auto& byDeadline = timers_.get<ByDeadline>();
    if (byDeadline.empty() || byDeadline.begin()->deadline > now) {
      return std::nullopt;
    }
    const Timer due = *byDeadline.begin();
    byDeadline.erase(byDeadline.begin());
    return due;
  }

 private:
  struct ByOwner {};
  struct ByDeadline {};
  template <class... Keys>
  using Composite = boost::multi_index::composite_key<Timer, Keys...>;
  using Table = boost::multi_index_container<
      Timer, boost::multi_index::indexed_by<
                 boost::multi_index::ordered_unique<
                     boost::multi_index::tag<ByOwner>,
                     Composite<boost::multi_index::member<Timer, ServiceId, &Timer::service>,
                               boost::multi_index::member<Timer, TimerId, &Timer::id>>>,
                 boost::multi_index::ordered_unique<
                     boost::multi_index::tag<ByDeadline>,
                     Composite<boost::multi_index::member<Timer, Time, &Timer::deadline>,
                               boost::multi_index::member<Timer, std::uint64_t, &Timer::order>>>>>;

  Table timers_;
  std::uint64_t nextOrder_ = 0;
};

}  // namespace shedshed

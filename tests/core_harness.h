/// @file
/// A hand-driven host for one or more cores in unit tests: time moves only when the test says so,
/// messages and persist requests wait until the test delivers them. Nothing sleeps.
#pragma once

#include "kernel/core.h"

#include <deque>
#include <map>
#include <memory>

namespace shedshed::test {

/// Records in memory. `crash` forgets what was not synced.
class MemoryRecords : public RecordReader {
 public:
  Result<std::optional<std::string>> read(std::string_view key) const override {
    const auto found = rows.find(std::string(key));
    if (found == rows.end()) {
      return std::optional<std::string>();
    }
    return std::optional<std::string>(found->second);
  }
  std::vector<std::string> keys(std::string_view prefix) const override {
    std::vector<std::string> found;
    for (auto it = rows.lower_bound(std::string(prefix)); it != rows.end(); ++it) {
      if (it->first.compare(0, prefix.size(), prefix) != 0) {
        break;
      }
      found.push_back(it->first);
    }
    return found;
  }
  RecordSpace space() const override { return recordSpace; }
  RecordSpace recordSpace;
  void apply(const std::vector<Mutation>& mutations) {
    for (const Mutation& mutation : mutations) {
      if (mutation.value) {
        rows[mutation.key] = *mutation.value;
      } else {
        rows.erase(mutation.key);
      }
    }
  }
  std::map<std::string, std::string> rows;
};

class MapCounters : public Counters {
 public:
  void add(std::string_view name, double amount) override { values[std::string(name)] += amount; }
  void set(std::string_view name, double value) override { values[std::string(name)] = value; }
  std::map<std::string, double> values;
};

class Harness;

/// The context of one core on one node of a `Harness`.
class HarnessContext : public CoreContext {
 public:
  HarnessContext(Harness& harness, NodeId self, ServiceId service);

  Time now() const override;
  RandomEngine& random() override;
  const NodeId& self() const override { return self_; }
  using CoreContext::send;
  void send(const NodeId& to, Message message) override;
  void startTimer(TimerId timer, Duration after) override;
  void stopTimer(TimerId timer) override { timers.erase(timer); }
  void persist(PersistId id, std::vector<Mutation> mutations) override;
  const RecordReader& records() const override;
  Counters& counters() override;
  void logEvent(const TraceEvent& event) override;
  void defer(std::function<void()> task) override;

  std::map<TimerId, Time> timers;

 private:
  friend class Harness;
  Harness& harness_;
  NodeId self_;
  ServiceId service_;
  Core* core_ = nullptr;
};

/// Hosts cores of several nodes. Delivers messages in order unless the test drops or reorders
/// `queue`.
class Harness {
 public:
  struct Envelope {
    NodeId from;
    NodeId to;
    Message message;
  };
  struct PersistRequest {
    HarnessContext* context;
    PersistId id;
    std::vector<Mutation> mutations;
  };

  /// Creates the context of @p service on @p node. Attach the core with `attach`.
  HarnessContext& context(const std::string& node, ServiceId service) {
    auto& slot = contexts_[{node, service}];
    slot = std::make_unique<HarnessContext>(*this, NodeId{node}, service);
    return *slot;
  }
  void attach(HarnessContext& context, Core& core) { context.core_ = &core; }

  /// Delivers everything that waits, and what that causes, without moving time.
  void settle() {
    while (!queue.empty() || !persists.empty() || !deferred.empty()) {
      while (!deferred.empty()) {
        auto task = std::move(deferred.front());
        deferred.pop_front();
        task();
      }
      if (!persists.empty()) {
        completePersist();
        continue;
      }
      if (!queue.empty()) {
        deliverAt(0);
      }
    }
  }

  /// Syncs the oldest persist request and tells its core.
  void completePersist() {
    const PersistRequest request = std::move(persists.front());
    persists.pop_front();
    synced[request.context->self_.address].apply(request.mutations);
    request.context->core_->persisted(request.id, okStatus());
  }

  /// Delivers the message at @p index of `queue`; a copy stays there if @p keep is set.
  void deliverAt(std::size_t index, bool keep = false) {
    const Envelope envelope = queue[index];
    if (!keep) {
      queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(index));
    }
    deliver(envelope);
  }

  /// Fires the earliest timer that is due by @p end and moves time to it.
  /// @return false if there is none
  bool fireTimerDueBy(Time end) {
    HarnessContext* next = earliestTimer(end);
    if (next == nullptr) {
      return false;
    }
    const auto timer = earliestIn(*next);
    now = std::max(now, timer.second);
    next->timers.erase(timer.first);
    next->core_->timerExpired(timer.first);
    return true;
  }

  /// Power loss of @p node: its records go back to what was synced, and its cores, which the test
  /// destroys, get nothing any more.
  void crash(const std::string& node) {
    for (auto it = persists.begin(); it != persists.end();) {
      it = it->context->self_.address == node ? persists.erase(it) : it + 1;
    }
    records[node] = synced[node];
    for (auto& entry : contexts_) {
      if (entry.first.first == node) {
        entry.second->core_ = nullptr;
        entry.second->timers.clear();
      }
    }
  }

  /// Moves time forward, firing timers in order and settling after each.
  void advance(Duration by) {
    const Time end = now + by;
    settle();
    while (fireTimerDueBy(end)) {
      settle();
    }
    now = end;
  }

  Time now = Time(std::chrono::seconds(1000));
  RandomEngine random{1};
  std::deque<Envelope> queue;
  std::deque<PersistRequest> persists;
  std::deque<std::function<void()>> deferred;
  std::map<std::string, MemoryRecords> records;
  std::map<std::string, MemoryRecords> synced;  ///< What a crash leaves of `records`.
  MapCounters counters;
  std::vector<std::string> events;  ///< Logged by any node, in order.
  /// Return false to drop a message.
  std::function<bool(const Envelope&)> filter = [](const Envelope&) { return true; };

 private:
  static std::pair<TimerId, Time> earliestIn(const HarnessContext& context) {
    std::pair<TimerId, Time> best{0, Time::max()};
    for (const auto& timer : context.timers) {
      if (timer.second < best.second) {
        best = timer;
      }
    }
    return best;
  }
  HarnessContext* earliestTimer(Time end) {
    HarnessContext* best = nullptr;
    Time bestTime = Time::max();
    for (auto& entry : contexts_) {
      const Time time = earliestIn(*entry.second).second;
      if (time <= end && time < bestTime) {
        bestTime = time;
        best = entry.second.get();
      }
    }
    return best;
  }
  void deliver(const Envelope& envelope) {
    const auto found = contexts_.find({envelope.to.address, envelope.message.service});
    if (found == contexts_.end() || found->second->core_ == nullptr || !filter(envelope)) {
      return;
    }
    found->second->core_->receive(envelope.from, envelope.message);
  }
  std::map<std::pair<std::string, ServiceId>, std::unique_ptr<HarnessContext>> contexts_;
};

inline HarnessContext::HarnessContext(Harness& harness, NodeId self, ServiceId service)
    : harness_(harness), self_(std::move(self)), service_(service) {}
inline Time HarnessContext::now() const {
  return harness_.now;
}
inline RandomEngine& HarnessContext::random() {
  return harness_.random;
}
inline void HarnessContext::send(const NodeId& to, Message message) {
  harness_.queue.push_back({self_, to, std::move(message)});
}
inline void HarnessContext::startTimer(TimerId timer, Duration after) {
  timers[timer] = harness_.now + after;
}
inline void HarnessContext::persist(PersistId id, std::vector<Mutation> mutations) {
  harness_.records[self_.address].apply(mutations);
  harness_.persists.push_back({this, id, std::move(mutations)});
}
inline const RecordReader& HarnessContext::records() const {
  return harness_.records[self_.address];
}
inline Counters& HarnessContext::counters() {
  return harness_.counters;
}
inline void HarnessContext::logEvent(const TraceEvent& event) {
  harness_.events.push_back(event.text());
}
inline void HarnessContext::defer(std::function<void()> task) {
  harness_.deferred.push_back(std::move(task));
}

}  // namespace shedshed::test

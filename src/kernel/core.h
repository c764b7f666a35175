/// @file
/// The contract between a core (a state machine without I/O) and its host.
///
/// The daemons host the cores on real sockets, disks and clocks (`runtime/`); the simulator hosts
/// the same cores on virtual ones (`sim/`). A core may do nothing but change its own state and
/// call its `CoreContext`. Given the same sequence of events, times and random seed, it makes the
/// same calls.
///
/// Threading: a host runs all cores of one node on one thread. A core may call another core of
/// the same node directly.
#pragma once

#include "kernel/error.h"
#include "kernel/message.h"
#include "kernel/node_id.h"
#include "kernel/time.h"
#include "kernel/trace_event.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace shedshed {

using RandomEngine = std::mt19937_64;

/// Names a timer within one core. The core chooses the values.
using TimerId = std::uint64_t;

/// Names a persist request within one core. The core chooses the values and never reuses one
/// while it is outstanding.
using PersistId = std::uint64_t;

/// One change to the node's durable records: sets `key` to `value`, or erases it.
struct Mutation {
  std::string key;
  std::optional<std::string> value;
};

/// How full the node's durable records are.
struct RecordSpace {
  std::uint64_t usedBytes = 0;
  std::uint64_t totalBytes = 0;  ///< 0 if there is no bound.

  /// True if new data should go elsewhere: the rest is for what follows from data that was taken.
  bool isScarce() const {
    constexpr std::uint64_t kScarcePart = 4;  // The last quarter is kept back.
    return totalBytes != 0 && usedBytes >= totalBytes - totalBytes / kScarcePart;
  }
};

/// Read access to the node's durable records. Keys of different services share one space; a
/// service prefixes its keys with its own name ("register/…").
class RecordReader {
 public:
  virtual ~RecordReader() = default;

  /// Returns the newest value, whether synced or still on its way to the disk; nullopt if absent.
  virtual Result<std::optional<std::string>> read(std::string_view key) const = 0;

  /// Returns all keys that start with @p prefix, in ascending order.
  virtual std::vector<std::string> keys(std::string_view prefix) const = 0;

  virtual RecordSpace space() const { return {}; }
};

/// Counters and gauges by name. Names are snake_case and end in `_total` for counters.
class Counters {
 public:
  virtual ~Counters() = default;
  virtual void add(std::string_view name, double amount = 1) = 0;
  virtual void set(std::string_view name, double value) = 0;
};

/// Everything that a core can do to the world. One context belongs to one core of one node.
class CoreContext {
 public:
  virtual ~CoreContext() = default;

  virtual Time now() const = 0;
  virtual RandomEngine& random() = 0;

  /// This node.
  virtual const NodeId& self() const = 0;

  /// Sends a one-way message; it may be lost, late, repeated or reordered. Never delivered before
  /// the current event ends, also when `to` is this node.
  virtual void send(const NodeId& to, Message message) = 0;

  /// Starts timer @p timer, or restarts it. `Core::timerExpired` is called once, after @p after.
  virtual void startTimer(TimerId timer, Duration after) = 0;

  /// Stops timer @p timer if it runs.
  virtual void stopTimer(TimerId timer) = 0;

  /// Applies @p mutations to the node's records in one atomic step and syncs them to the disk.
  /// `Core::persisted` is called once they are synced; requests complete in the order made. On a
  /// node without a disk this is a programming error.
  virtual void persist(PersistId id, std::vector<Mutation> mutations) = 0;

  /// The node's durable records.
  virtual const RecordReader& records() const = 0;

  virtual Counters& counters() = 0;

  /// Logs a change of state. Not for events that repeat with the load.
  virtual void logEvent(const TraceEvent& event) = 0;

  /// Runs @p task after the current event ends, on the core thread.
  virtual void defer(std::function<void()> task) = 0;

  template <class T>
  void send(const NodeId& to, const T& typed) {
    send(to, encodeMessage(typed));
  }
};

/// A state machine that a host drives. Not thread-safe: one thread calls it.
class Core {
 public:
  virtual ~Core() = default;

  /// Called once, after the node's records have been recovered.
  virtual void start() = 0;

  /// Called for each message addressed to this core's service.
  virtual void receive(const NodeId& from, const Message& message) = 0;

  /// Called when a timer that the core started has run out.
  virtual void timerExpired(TimerId timer) = 0;

  /// Called when a persist request is synced, or has failed for good.
  virtual void persisted(PersistId id, const Status& status) {
    (void)id;
    (void)status;
  }
};

}  // namespace shedshed

/// @file
/// Network, runtime, startup and shutdown shared by the processes on one event loop.
#pragma once

#include "assembly/node_options.h"
#include "process/process_start.h"
#include "runtime/metrics.h"
#include "runtime/node_runtime.h"
#include "serving/core_executor.h"
#include "serving/serving_counters.h"
#include "serving/serving_threads.h"
#include "wire/tcp_transport.h"

#include <boost/asio/dispatch.hpp>
#include <chrono>
#include <functional>

namespace shedshed {

/// Runs tasks on the event loop; immediately if the caller runs on it.
class LoopExecutor : public CoreExecutor {
 public:
  explicit LoopExecutor(boost::asio::io_context& loop) : loop_(loop) {}
  void post(std::function<void()> task) override { boost::asio::dispatch(loop_, std::move(task)); }
  Time now() const override { return monotonicNow(); }

 private:
  boost::asio::io_context& loop_;
};

/// Adds the counters of the serving path to those of the process.
class LoopCounters : public ServingCounters {
 public:
  explicit LoopCounters(Metrics& metrics) : metrics_(metrics) {}
  void add(std::string_view name, double amount) override { metrics_.add(name, amount); }
  void observe(std::string_view name, double seconds) override { metrics_.observe(name, seconds); }

 private:
  Metrics& metrics_;
};

/// The parts of a process with one event loop other than its cores. One thread runs everything
/// except disk syncs; `run` and `pollUntil` are called by the main thread.
class EventLoopNode {
 public:
  /// @p records is null without a disk. Arguments must outlive the object.
  EventLoopNode(const ProcessSettings& settings, const ProcessKeys& keys, DurableRecords* records)
      : transport(loop, settings.internalAddress, keys.fleetKey, metrics),
        runtime(loop, settings.internalAddress, transport, records, metrics, &failStop),
        executor(loop), counters(metrics), self_(settings.internalAddress) {}

  /// Runs the process: calls @p listen, starts the runtime, waits for the stop signal and calls
  /// @p drain. Returns the exit code: 1 if startup failed. The event loop has stopped when
  /// it returns.
  int run(const std::function<Status()>& listen, const std::function<void()>& drain);

  /// Evaluates @p condition each @p interval, and at least once, until it is true or @p deadline
  /// has passed. Returns its last value.
  static bool pollUntil(Time deadline, std::chrono::milliseconds interval,
                        const std::function<bool()>& condition);

  ServingIoContext loop;
  Metrics metrics;
  TcpTransport transport;
  NodeRuntime runtime;
  LoopExecutor executor;
  LoopCounters counters;

 private:
  /// Stops the event loop and drops its pending handlers.
  void stop();

  const NodeId self_;
};

/// Options of the cores of a process with one event loop: its identity, its seeds with the port
/// from the settings, and the time-outs and limits of such a fleet.
NodeOptions eventLoopOptions(const ProcessSettings& settings, const std::string& storeId);

}  // namespace shedshed

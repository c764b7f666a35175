/// @file
/// Runs the cores of one node with the real clock, network and disk.
#pragma once

#include "kernel/core_host.h"
#include "runtime/disk_writer.h"
#include "runtime/metrics.h"
#include "runtime/timer_queue.h"
#include "wire/transport.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <thread>

namespace shedshed {

/// Reads the process's monotonic clock. Thread-safe.
Time monotonicNow();

/// Runs all cores of one node on one thread.
///
/// Order of use: construct, `context` for each core, `attach` each core, `start`, …, `stop`.
class NodeRuntime : public CoreHost {
 public:
  /// Called on an unrecoverable disk failure. The process must end (fail-stop): a node that cannot
  /// sync must not answer from memory.
  using FatalHandler = std::function<void(const Error&)>;

  /// @p records is null on a node without a disk. Does not own its arguments.
  NodeRuntime(NodeId self, Transport& transport, DurableRecords* records, Metrics& metrics,
              FatalHandler fatal);

  /// Uses the event loop @p loop, which must outlive the runtime. Others may use the loop too;
  /// their handlers then run on the core thread.
  NodeRuntime(boost::asio::io_context& loop, NodeId self, Transport& transport,
              DurableRecords* records, Metrics& metrics, FatalHandler fatal);
  ~NodeRuntime() override;
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  CoreContext& context(ServiceId service) override;
  void attach(ServiceId service, Core& core) override;

  /// Starts the cores in the order of their service ids, and the transport.
  Status start();

  /// Stops the core thread, the transport and the disk thread.
  void stop();

  /// Runs @p task on the core thread. Thread-safe.
  void post(std::function<void()> task);

  /// Runs @p task on the core thread and waits for it. Must not be called on the core thread.
  void runAndWait(std::function<void()> task);

 private:
  class Context;

  NodeRuntime(boost::asio::io_context* sharedLoop, NodeId self, Transport& transport,
              DurableRecords* records, Metrics& metrics, FatalHandler fatal);

  void deliver(const NodeId& from, Message message);
  void armTimer();
  void fireTimers();
  void persist(Context& context, PersistId id, std::vector<Mutation> mutations);

  const NodeId self_;
  Transport& transport_;
  Metrics& metrics_;
  FatalHandler fatal_;
  const std::unique_ptr<boost::asio::io_context> ownLoop_;  ///< Null on a shared event loop.
  boost::asio::io_context& loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::steady_timer wakeTimer_;
  Time wakeTime_ = Time::max();
  TimerQueue timers_;
  RandomEngine random_;
  std::map<ServiceId, std::unique_ptr<Context>> contexts_;
  std::unique_ptr<DiskWriter> disk_;
  std::thread thread_;
  bool stopped_ = false;
};

}  // namespace shedshed

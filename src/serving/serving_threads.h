/// @file
/// I/O threads of the serving path.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <cstddef>
#include <functional>
#include <thread>
#include <vector>

namespace shedshed {

/// Serializes the handlers of one connection or one call.
using ServingStrand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// An `io_context` whose pending handlers can be destroyed before it is.
class ServingIoContext : public boost::asio::io_context {
 public:
  /// Destroys all pending handlers, which unwinds the coroutines suspended in them.
  void dropHandlers() { shutdown(); }
};

/// Owns the `io_context` of the serving path and the threads that run it.
class ServingThreads {
 public:
  ServingThreads();
  ~ServingThreads();
  ServingThreads(const ServingThreads&) = delete;
  ServingThreads& operator=(const ServingThreads&) = delete;

  /// Starts @p count threads.
  void start(std::size_t count);

  /// Stops and joins all threads, then unwinds the coroutines of calls in progress; the services
  /// that they use must still exist. Idempotent.
  void stop();

  boost::asio::io_context& io() { return io_; }
  ServingStrand makeStrand() { return ServingStrand(io_.get_executor()); }

  /// Starts a coroutine on @p strand with the stack size of the serving path.
  void spawn(const ServingStrand& strand, std::function<void(boost::asio::yield_context)> body);

 private:
  ServingIoContext io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::vector<std::thread> threads_;
  bool stopped_ = false;
};

}  // namespace shedshed

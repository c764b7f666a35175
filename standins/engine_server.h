/// @file
/// HTTP server of a stand-in engine. Several servers may share a process and an io_context.
#pragma once

#include "standins/engine_behaviour.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace shedshed::standin {

/// Serves chat completions with simulated timing. Runs at most `maxRunning` requests at once and
/// queues the others first in, first out, regardless of priority. Not thread-safe: requires a
/// single-threaded io_context.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& io, EngineProfile profile);

  /// Listens on @p address ("a.b.c.d:port"). Throws boost::system::system_error.
  void listen(const std::string& address);

 private:
  struct RunRecord {
    std::string requestId;
    std::string outcome;
    std::string promptDigest;  ///< First token of the completion; empty for a refused request.
  };
  class Session;
  friend class Session;

  void acceptNext();
  /// Waits for capacity to run one more request. Always returns true.
  bool acquireCapacity(boost::asio::yield_context yield);
  void releaseCapacity();
  /// Applies a control action given as JSON. Returns false if the action is unknown.
  bool applyControl(const std::string& body);
  /// Returns the fault of the next request.
  Fault drawFault();
  std::string healthJson() const;
  std::string logJson() const;
  bool frozen() const;

  boost::asio::io_context& io_;
  EngineProfile profile_;
  PrefixCache cache_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint32_t running_ = 0;
  std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting_;
  bool draining_ = false;
  Fault fault_ = Fault::None;
  double faultShare_ = 1;  ///< Share of the requests that have the fault.
  std::mt19937_64 random_{1};
  double slowFactor_ = 1;
  double responseDelaySeconds_ = 0;
  std::uint32_t cutAfterEvents_ = 0;
  std::chrono::steady_clock::time_point frozenUntil_{};
  std::vector<RunRecord> log_;
};

}  // namespace shedshed::standin

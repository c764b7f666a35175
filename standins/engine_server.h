/// @file
/// HTTP face of a stand-in engine. Several may share one process and one io_context.
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
#include <string>

namespace shedshed::standin {

/// A stand-in engine: runs at most `maxRunning` requests, queues the rest in order of arrival,
/// knows nothing of priority. Runs on a single-threaded io_context.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& io, EngineProfile profile);

  /// Listens on @p address ("a.b.c.d:port"). Throws boost::system::system_error.
  void listen(const std::string& address);

 private:
  struct RunRecord {
    std::string requestId;
    std::string outcome;
    std::string promptDigest;  ///< First word of the answer; empty if the request was refused.
  };
  class Session;
  friend class Session;

  void acceptNext();
  bool acquireCapacity(boost::asio::yield_context yield);
  void releaseCapacity();
  /// Carries out a control order. Returns false if it is not known.
  bool applyControl(const std::string& body);
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
  double slowFactor_ = 1;
  double responseDelaySeconds_ = 0;
  std::uint32_t cutAfterEvents_ = 0;
  std::chrono::steady_clock::time_point frozenUntil_{};
  std::vector<RunRecord> log_;
};

}  // namespace shedshed::standin

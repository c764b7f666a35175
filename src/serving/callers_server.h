/// @file
/// HTTP server of the callers' address.
#pragma once

#include "serving/caller_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace shedshed {

/// Accepts caller connections and serves them on the serving threads.
///
/// Graceful shutdown: `setDraining(true)`, `stopAccepting`, wait for `notifyWhenIdle`, stop the
/// serving threads, destroy the server.
class CallersServer {
 public:
  /// @p address is "a.b.c.d:port"; port 0 lets the system choose. @p services must outlive the
  /// server, and the serving threads must be stopped before the server is destroyed.
  CallersServer(ServingServices& services, std::string address, CallerLimits limits = {});

  /// Binds, listens and starts to accept. Fails with `InvalidArgument` if the address cannot be
  /// bound.
  Status start();

  /// Returns the listening port.
  std::uint16_t port() const;

  /// While @p draining, rejects new work and fails `/readyz`. Calls in progress are completed.
  void setDraining(bool draining);

  /// Closes the listening socket. Connections stay open. Thread-safe.
  void stopAccepting();

  /// Returns the number of calls in progress. Thread-safe.
  std::size_t activeCalls() const { return shared_->activeCalls; }

  /// Calls @p callback once on the core thread when no call is in progress. Thread-safe.
  void notifyWhenIdle(std::function<void()> callback);

 private:
  void acceptLoop(boost::asio::yield_context yield);
  void serve(boost::asio::ip::tcp::socket socket, const ServingStrand& strand);
  void checkIdle();

  ServingServices& services_;
  std::string address_;
  std::unique_ptr<CallersServerState> shared_;
  ServingStrand strand_;  ///< Strand of the acceptor.
  boost::asio::ip::tcp::acceptor acceptor_;
  std::mutex idleMutex_;
  std::function<void()> idleCallback_;
};

}  // namespace shedshed

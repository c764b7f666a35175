/// @file
/// Serves the HTTP calls of one caller connection.
#pragma once

#include "serving/call_filter.h"
#include "serving/caller_limits.h"
#include "serving/caller_writer.h"
#include "serving/serving_services.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>

namespace shedshed {

/// State shared by all connections of one server.
struct CallersServerState {
  ServingServices& services;
  CallerLimits limits;
  FilterChain chatChain;
  FilterChain batchChain;
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> activeCalls{0};
  std::atomic<std::size_t> batchUploads{0};
  std::function<void()> callEnded;  ///< Called after each call; any thread.
};

/// Serves the calls of one connection, one after the other, until it is closed.
class CallerConnection {
 public:
  /// @p socket's executor must be @p strand.
  CallerConnection(CallersServerState& shared, boost::asio::ip::tcp::socket socket,
                   const ServingStrand& strand);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Serves calls until the connection must be closed.
  void run(boost::asio::yield_context yield);

 private:
  class Exchange;

  CallersServerState& shared_;
  boost::asio::ip::tcp::socket socket_;
  ServingStrand strand_;
};

}  // namespace shedshed

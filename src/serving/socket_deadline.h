/// @file
/// Closes a socket when an operation on it takes too long.
#pragma once

#include "kernel/time.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace shedshed {

/// One deadline at a time for one socket. All use, and the handler, is on one strand, which must
/// be the strand of the coroutine that uses the socket.
class SocketDeadline {
 public:
  SocketDeadline(const ServingStrand& strand, boost::asio::ip::tcp::socket& socket)
      : state_(std::make_shared<State>(strand, socket)) {}
  ~SocketDeadline() { disarm(); }
  SocketDeadline(const SocketDeadline&) = delete;
  SocketDeadline& operator=(const SocketDeadline&) = delete;

  /// Starts the deadline anew.
  void arm(Duration after) {
    const std::uint64_t generation = ++state_->generation;
    state_->timer.expires_after(std::chrono::duration_cast<std::chrono::microseconds>(after));
    state_->timer.async_wait([state = state_, generation](const boost::system::error_code& error) {
      if (!error && state->generation == generation) {
        state->expired = true;
        boost::system::error_code ignored;
        state->socket.close(ignored);
      }
    });
  }

  /// Stops it. The socket is not touched afterwards, even by a handler that is already queued.
  void disarm() {
    ++state_->generation;
    state_->timer.cancel();
  }

  /// True if the deadline has closed the socket.
  bool expired() const { return state_->expired; }

 private:
  struct State {
    State(const ServingStrand& strand, boost::asio::ip::tcp::socket& s)
        : timer(strand), socket(s) {}
    boost::asio::steady_timer timer;
    boost::asio::ip::tcp::socket& socket;
    std::uint64_t generation = 0;
    bool expired = false;
  };
  std::shared_ptr<State> state_;
};

}  // namespace shedshed

/// @file
/// Time-out of socket operations.
#pragma once

#include "kernel/time.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace shedshed {

/// Closes a socket when its deadline expires. Has one deadline at a time. Must be used on the
/// strand of the coroutine that uses the socket; the timer handler runs there too.
class SocketDeadline {
 public:
  SocketDeadline(const ServingStrand& strand, boost::asio::ip::tcp::socket& socket)
      : state_(std::make_shared<State>(strand, socket)) {}
  ~SocketDeadline() { disarm(); }
  SocketDeadline(const SocketDeadline&) = delete;
  SocketDeadline& operator=(const SocketDeadline&) = delete;

  /// Sets the deadline, replacing an earlier one.
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

  /// Cancels the deadline. The socket is not accessed afterwards, even by a queued timer handler,
  /// so it may be destroyed.
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

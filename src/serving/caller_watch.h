/// @file
/// Detects that a caller disconnects while its call is being served.
#pragma once

#include "serving/call_abort.h"
#include "serving/serving_counters.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace shedshed {

/// Aborts the call when the connection is closed or reset during the lifetime of this object. Bytes
/// of a pipelined request stay unread; once there are any, a disconnect is detected only by a
/// failed write. The socket's executor must be the strand of the call.
class CallerWatch {
 public:
  CallerWatch(boost::asio::ip::tcp::socket& socket, CallAbort& abort, ServingCounters& counters)
      : state_(std::make_shared<State>(State{socket, abort, counters})) {
    waitUntilReadable(state_);
  }
  ~CallerWatch() {
    state_->active = false;
    boost::system::error_code ignored;
    state_->socket.cancel(ignored);
  }
  CallerWatch(const CallerWatch&) = delete;
  CallerWatch& operator=(const CallerWatch&) = delete;

 private:
  struct State {
    boost::asio::ip::tcp::socket& socket;
    CallAbort& abort;
    ServingCounters& counters;
    bool active = true;
  };

  static void waitUntilReadable(const std::shared_ptr<State>& state);
  static void onReadable(const std::shared_ptr<State>& state);

  std::shared_ptr<State> state_;
};

}  // namespace shedshed

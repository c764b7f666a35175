/// @file
/// Notices that a caller drops its connection while the tier works for it.
#pragma once

#include "serving/call_abort.h"
#include "serving/serving_counters.h"
#include "serving/serving_threads.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace shedshed {

/// While it lives, a closed or reset connection aborts the call. Bytes of a next request stay
/// unread; once there are some, only a failing write shows that the caller has gone. The socket's
/// executor must be the strand of the call.
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

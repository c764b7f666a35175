#include "serving/caller_watch.h"

#include <cerrno>
#include <sys/socket.h>

namespace shedshed {

void CallerWatch::waitUntilReadable(const std::shared_ptr<State>& state) {
  state->socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                           [state](const boost::system::error_code& failed) {
                             if (!failed && state->active) {
                               onReadable(state);
                             }
                           });
}

void CallerWatch::onReadable(const std::shared_ptr<State>& state) {
  char byte = 0;
  const ssize_t received =
      ::recv(state->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return;
  }
  const bool spurious = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  if (spurious) {
    waitUntilReadable(state);
  } else {
    state->abort.abort();
    state->counters.add("serving_callers_dropped_total", 1);
  }
}

}  // namespace shedshed

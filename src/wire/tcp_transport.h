/// @file
/// Internal messages over TCP connections on the event loop of the cores.
#pragma once

#include "kernel/core.h"
#include "wire/frame.h"
#include "wire/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

namespace shedshed {

/// Options of `TcpTransport`.
struct TcpTransportOptions {
  std::size_t sendQueueBytes = 8U << 20U;          ///< Per peer; further messages are dropped.
  std::size_t maxFrameBytes = 16U << 20U;          ///< A larger frame closes the connection.
  std::chrono::milliseconds connectTimeout{700};   ///< After it the queue is dropped.
  std::chrono::milliseconds reconnectDelay{100};   ///< Between two connection attempts.
  std::chrono::milliseconds unackedTimeout{1200};  ///< `TCP_USER_TIMEOUT` of a connection.
  int keepAliveSeconds = 1;                        ///< Idle time and interval of the probes.
  int keepAliveProbes = 2;  ///< Unanswered probes that close an idle connection.
};

/// Uses one connection for each direction: a node writes to the connections that it opened and
/// reads from those that it accepted. A frame is its length as four bytes, big-endian, followed by
/// the bytes of `encodeFrame`.
///
/// A connection to an unresponsive peer is closed within `unackedTimeout`, so that messages are
/// delivered again as soon as the peer is back. Queued messages are dropped, which cores expect.
///
/// Threading: all methods except the constructor must be called on the thread that runs the event
/// loop.
class TcpTransport : public Transport {
 public:
  /// Does not own @p loop and @p counters, which must outlive it.
  TcpTransport(boost::asio::io_context& loop, NodeId self, const FleetKey& key, Counters& counters,
               TcpTransportOptions options = {});
  ~TcpTransport() override;

  /// Fails with `InvalidArgument` when the address cannot be bound.
  Status start(Receiver receiver) override;
  void send(const NodeId& to, const Message& message) override;
  void stop() override;

 private:
  class IncomingConnection;
  class OutgoingConnection;

  void accept();
  void handleFrame(std::string_view bytes);

  boost::asio::io_context& loop_;
  const NodeId self_;
  const FleetKey key_;
  Counters& counters_;
  const TcpTransportOptions options_;
  Receiver receiver_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::map<NodeId, std::shared_ptr<OutgoingConnection>> outgoingConnections_;
  std::vector<char> readBuffer_;  ///< Shared by all incoming connections, read one at a time.
  bool stopped_ = false;
};

}  // namespace shedshed

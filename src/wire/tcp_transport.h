/// @file
/// Internal messages over TCP links on the event loop of the cores.
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

/// Knobs of `TcpTransport`.
struct TcpTransportOptions {
  std::size_t sendQueueBytes = 8U << 20U;          ///< Per peer; a message beyond it is dropped.
  std::size_t maxFrameBytes = 16U << 20U;          ///< A larger frame closes the link.
  std::chrono::milliseconds connectTimeout{700};   ///< Then the queue is dropped.
  std::chrono::milliseconds reconnectDelay{100};   ///< Between two tries to connect.
  std::chrono::milliseconds unackedTimeout{1200};  ///< `TCP_USER_TIMEOUT` of a link.
  int keepAliveSeconds = 1;                        ///< Idle time and interval of the probes.
  int keepAliveProbes = 2;                         ///< Lost probes that close an idle link.
};

/// One link for each direction: a node writes to the links that it opened and reads from those that
/// it accepted. A frame is its length as four bytes, big-endian, and the bytes of `encodeFrame`.
///
/// A peer that fell silent closes its links within `unackedTimeout`, so that messages flow again as
/// soon as it is back; what was queued is dropped, which cores expect.
///
/// Threading: all calls on the thread that runs the event loop, but for construction.
class TcpTransport : public Transport {
 public:
  /// Keeps references to @p loop and @p counters; they must outlive it.
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
  std::vector<char> readBuffer_;  ///< Of all incoming links: only one is read at a time.
  bool stopped_ = false;
};

}  // namespace shedshed

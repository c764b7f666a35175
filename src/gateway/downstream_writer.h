/// @file
/// The response side of a client connection to the gateway.
#pragma once

#include "gateway/gateway_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace shedshed {

/// Writes HTTP/1.1 responses to one client. Every write has a time-out. Used only by the coroutine
/// of the session that owns it.
class DownstreamWriter : public StreamSink {
 public:
  DownstreamWriter(boost::asio::ip::tcp::socket& socket, const ServingStrand& strand)
      : socket_(socket), strand_(strand) {}

  void onHead(const ResponseHead& head) override;
  Status onBytes(std::string_view bytes, boost::asio::yield_context yield) override;

  /// Writes a complete answer. Returns false if the write fails.
  bool writeAnswer(const GatewayAnswer& answer, bool keepAlive, boost::asio::yield_context yield);

  /// Ends a complete stream by writing the last chunk. Returns false if the write fails.
  bool endStream(boost::asio::yield_context yield);

  /// Writes `100 Continue`, which the client awaits before it sends the body.
  bool writeContinue(boost::asio::yield_context yield);

  /// Returns true once bytes of a stream have been written.
  bool streamStarted() const { return streamStarted_; }

  /// Sets whether the response carries `Connection: close`.
  void setClosing(bool closing) { closing_ = closing; }

 private:
  bool write(const std::string& bytes, boost::asio::yield_context yield);

  boost::asio::ip::tcp::socket& socket_;
  const ServingStrand& strand_;
  std::string pendingHead_;
  bool headReceived_ = false;
  bool streamStarted_ = false;
  bool closing_ = false;
};

}  // namespace shedshed

/// @file
/// The response side of a client connection to the gateway.
#pragma once

#include "gateway/gateway_call.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

namespace shedshed {

/// Writes responses to one client, as HTTP/1.1. Every write has a time-out. Used by the coroutine
/// of the session, which owns it.
class DownstreamWriter : public StreamSink {
 public:
  DownstreamWriter(boost::asio::ip::tcp::socket& socket, const ServingStrand& strand)
      : socket_(socket), strand_(strand) {}

  void onHead(const ResponseHead& head) override;
  Status onBytes(std::string_view bytes, boost::asio::yield_context yield) override;

  /// Writes a complete answer. False if the client can't be reached.
  bool writeAnswer(const GatewayAnswer& answer, bool keepAlive, boost::asio::yield_context yield);

  /// Ends a complete stream with the last chunk.
  bool endStream(boost::asio::yield_context yield);

  /// Asks for a body that the client withholds until then.
  bool writeContinue(boost::asio::yield_context yield);

  /// True once bytes of a stream have been written.
  bool streamStarted() const { return streamStarted_; }

  /// The answer closes the connection.
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

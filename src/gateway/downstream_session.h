/// @file
/// One client connection to the gateway.
#pragma once

#include "gateway/downstream_writer.h"
#include "gateway/gateway_call.h"
#include "gateway/gateway_services.h"
#include "serving/caller_watch.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace shedshed {

class DownstreamSession;

/// State shared by all connections of a gateway.
struct GatewayShared {
  GatewayServices& services;
  std::vector<std::unique_ptr<GatewayFilter>> filters;  ///< In the order of application.
  std::size_t activeCalls = 0;
  bool stopping = false;                      ///< Sessions wait for no further request.
  std::set<DownstreamSession*> idleSessions;  ///< Sessions that wait for a request.
};

/// Serves the requests of one connection in sequence until the connection closes.
class DownstreamSession {
 public:
  DownstreamSession(GatewayShared& shared, boost::asio::ip::tcp::socket socket,
                    const ServingStrand& strand);

  void run(boost::asio::yield_context yield);

  /// Closes the connection unless bytes of another request have arrived.
  void closeIfIdle();

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Serves one request. Returns false if the connection must be closed.
  bool serve(boost::asio::yield_context yield);
  bool waitForRequest(Duration idle, boost::asio::yield_context yield);
  /// Reads a request. Returns false if the connection must be closed without a response. Sets
  /// `refusal_` if the request must be refused and the connection closed after that.
  bool readRequest(Parser& parser, const ClientLimits& limits, DownstreamWriter& writer,
                   boost::asio::yield_context yield);
  /// Moves the request into @p call. Fails with `InvalidArgument` if a header can't be forwarded.
  Status extractCall(Parser& parser, GatewayCall& call);
  bool answer(GatewayCall& call, DownstreamWriter& writer, bool keepAlive,
              boost::asio::yield_context yield);
  bool refuse(const Error& error, const std::string& requestId, DownstreamWriter& writer,
              boost::asio::yield_context yield);
  ClientLimits clientLimits() const;

  GatewayShared& shared_;
  GatewayServices& services_;
  boost::asio::ip::tcp::socket socket_;
  ServingStrand strand_;
  boost::beast::flat_buffer buffer_;
  std::optional<Error> refusal_;
};

}  // namespace shedshed

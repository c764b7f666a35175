/// @file
/// HTTP server for requests with unstreamed responses: readiness checks and operator requests.
#pragma once

#include "gateway/gateway_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace shedshed {

/// A request as received.
struct BufferedRequest {
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;

  /// Returns the value of the header @p name, or empty if it is absent.
  std::string_view header(std::string_view name) const;
};

/// Serves requests on one address. Runs on the thread of the event loop.
class BufferedRequestServer {
 public:
  using Done = std::function<void(GatewayAnswer)>;
  /// Answers a request by calling `done` exactly once, immediately or later, on the thread of the
  /// event loop.
  using Handler = std::function<void(const BufferedRequest& request, Done done)>;

  /// A request body larger than @p maxBodyBytes is rejected with 413.
  BufferedRequestServer(boost::asio::io_context& io, std::string address, std::size_t maxBodyBytes,
                        Handler handler);

  /// Fails with `InvalidArgument` when the address cannot be bound.
  Status start();

 private:
  void accept();
  void serve(boost::asio::ip::tcp::socket& socket, const ServingStrand& strand,
             boost::asio::yield_context yield);

  boost::asio::io_context& io_;
  const std::string address_;
  const std::size_t maxBodyBytes_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

}  // namespace shedshed

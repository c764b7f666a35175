/// @file
/// A small HTTP server for calls whose answers are made as a whole: readiness, operators' calls.
#pragma once

#include "gateway/gateway_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace shedshed {

/// A call as it came in.
struct BufferedRequest {
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;

  /// The value of the header @p name; empty if it is absent.
  std::string_view header(std::string_view name) const;
};

/// Answers calls on one address. On the thread of the event loop.
class BufferedRequestServer {
 public:
  using Done = std::function<void(GatewayAnswer)>;
  /// Answers a call by calling `done` once, at once or later, on the thread of the event loop.
  using Handler = std::function<void(const BufferedRequest& request, Done done)>;

  /// @p maxBodyBytes: a larger body is refused with 413.
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

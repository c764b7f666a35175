#include "wire/listening.h"

#include "wire/tcp_endpoint.h"

namespace shedshed {

Status listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    return endpoint.error();
  }
  boost::system::error_code error;
  acceptor.open(endpoint.value().protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint.value(), error);
  }
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return makeError(ErrorCode::InvalidArgument, address + ": " + error.message());
  }
  return okStatus();
}

}  // namespace shedshed

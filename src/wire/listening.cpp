#include "wire/listening.h"

#include "wire/tcp_endpoint.h"

namespace shedshed {

Status listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    return endpoint.error();
  }
  boost::system::error_code failed;
  acceptor.open(endpoint.value().protocol(), failed);
  if (!failed) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), failed);
  }
  if (!failed) {
    acceptor.bind(endpoint.value(), failed);
  }
  if (!failed) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failed);
  }
  if (failed) {
    return makeError(ErrorCode::InvalidArgument, address + ": " + failed.message());
  }
  return okStatus();
}

}  // namespace shedshed
